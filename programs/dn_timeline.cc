// dn-timeline: prints the events of all instances as one timeline.
#include "operators/operators.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  return dn::RunTimelineCommand(argc, argv, dn::platform::MakeStoreProtocol());
}
