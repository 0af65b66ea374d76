// dn-entry: forwards requests from callers to backend servers.
#include "entry/entry.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  const dn::EntryAdapter adapter{.store = dn::platform::MakeStoreProtocol(),
                                 .registry = dn::platform::MakeWorkerRegistry()};
  return dn::RunWithSettings<dn::InstanceSettings>(
      argc, argv, "Forwards requests from callers to backend servers.", dn::CheckSettings,
      [&](const dn::InstanceSettings& settings) { return dn::RunEntry(settings, adapter); });
}
