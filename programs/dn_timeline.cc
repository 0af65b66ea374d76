// dn-timeline: one time line of the events of all instances.
#include "operators/operators.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  return dn::RunTimelineCommand(argc, argv, dn::platform::MakeStoreProtocol());
}
