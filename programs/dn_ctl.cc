// dn-ctl: command-line tool for operators.
#include "operators/operators.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  return dn::RunControlCommand(argc, argv, dn::platform::MakeStoreProtocol());
}
