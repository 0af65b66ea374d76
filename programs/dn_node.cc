// dn-node. Schedules jobs on the platform's workers.
#include "node/node.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  namespace platform = dn::platform;
  const dn::NodeAdapter adapter{.settings_path = platform::SettingsPath(),
                                .decode_settings = platform::DecodeSettings,
                                .store = platform::Store(),
                                .workers = platform::Workers(),
                                .jobs = platform::Jobs(),
                                .operator_records = platform::OperatorRecords(),
                                .queue_configuration_key = std::string(platform::CatalogueKey()),
                                .decode_queue_configuration = platform::DecodeCatalogue,
                                .registry = platform::Registry()};
  return dn::RunNode(argc, argv, adapter);
}
