// dn-node: schedules jobs on the workers of the platform.
#include "node/node.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  namespace platform = dn::platform;
  const dn::NodeAdapter adapter{
      .settings_path = platform::SettingsPath(),
      .decode_settings = platform::DecodeSettings,
      .store = platform::MakeStoreProtocol(),
      .workers = platform::MakeWorkerProtocol(),
      .jobs = platform::MakeJobProtocol(),
      .operator_records = platform::OperatorRecords(),
      .queue_configuration_key = std::string(platform::QueueConfigurationKey()),
      .decode_queue_configuration = platform::DecodeQueueConfiguration,
      .evacuated_zone = platform::EvacuatedZone,
      .registry = platform::MakeWorkerRegistry()};
  return dn::RunNode(argc, argv, adapter);
}
