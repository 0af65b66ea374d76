// Measures the processor time and memory per worker, key, held slot and service at
// several sizes and prints a table, on which docs/CAPACITY.md is based.
#include <malloc.h>

#include <ctime>
#include <iomanip>
#include <iostream>

#include "decisions/decisions.h"
#include "entry/entry.h"
#include "sibling/sibling.h"

namespace {

using dn::Duration;
using dn::Time;

double CpuMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Mean cost of one call: processor time and growth of the heap.
struct Cost {
  double microseconds = 0;
  double bytes = 0;
};

template <class Use>
Cost Measure(int repeats, Use use) {
  const double heap = HeapBytes();
  const double start = CpuMicroseconds();
  for (int i = 0; i < repeats; ++i) use(i);
  return {(CpuMicroseconds() - start) / repeats, (HeapBytes() - heap) / repeats};
}

void PrintRow(const std::string& label, int size, const std::string& unit, double value) {
  std::cout << std::left << std::setw(46) << label << std::right << std::setw(9) << size
            << std::setw(14) << std::fixed << std::setprecision(3) << value << ' ' << unit << '\n';
}

dn::WorkerEntry MakeWorker(int i) {
  return dn::WorkerEntry({.id = {"zone-a-" + std::to_string(i)},
                          .service = "refill-desk-0",
                          .address = {"127.0.0.1", 8000},
                          .zone = "zone-a"});
}

dn::Instance MakeMember(int i) {
  return dn::Instance({.id = {"entry-zone-a-" + std::to_string(i)},
                       .region = {"region-1"},
                       .zone = {"zone-a"},
                       .caller_address = {"127.0.0.1", 8080},
                       .sibling_address = {"127.0.0.1", 9090},
                       .incarnation = static_cast<std::uint64_t>(i + 1)});
}

dn::Configuration MakeConfiguration(int services) {
  dn::ConfigurationFields fields{
      .deployment = "bench",
      .regions = {dn::Region({.name = {"region-1"}, .availability_zones = {{"zone-a"}}})}};
  for (int i = 0; i < services; ++i) {
    fields.services.push_back(dn::Service({.name = {"refill-desk-" + std::to_string(i)},
                                           .slots_per_worker = 8,
                                           .connections_per_worker = 64}));
  }
  return dn::Configuration(std::move(fields));
}

void MeasureSlotTables() {
  for (const int workers : {100, 300, 900}) {
    for (const int members : {4, 30}) {
      dn::MembershipState membership;
      for (int i = 0; i < members; ++i)
        membership.members.emplace(MakeMember(i)->id, MakeMember(i));
      std::vector<dn::WorkerEntry> worker_entries;
      worker_entries.reserve(static_cast<std::size_t>(workers));
      for (int i = 0; i < workers; ++i) worker_entries.push_back(MakeWorker(i));
      const dn::Configuration configuration = MakeConfiguration(1);
      dn::SlotTable table(MakeMember(0));
      const Cost first =
          Measure(1, [&](int) { table.Update(membership, 1, worker_entries, configuration); });
      const Cost again = Measure(
          5, [&](int i) { table.Update(membership, 2 + i, worker_entries, configuration); });
      const std::string name = "slot table, " + std::to_string(members) + " members";
      PrintRow(name + ": update, a worker", workers, "us", again.microseconds / workers);
      PrintRow(name + ": heap, a worker", workers, "bytes", first.bytes / workers);
    }
  }
}

void MeasureKeys() {
  for (const int keys : {2000, 6000, 18'000}) {
    dn::KeyFold fold(Duration(3'000'000));
    const Cost step = Measure(keys, [&](int i) {
      fold.Apply({i, 1,
                  dn::KeyRecord({.key = {"order-2026-12-04-" + std::to_string(i)},
                                 .claim = {"entry-zone-a-0-1764841234567890-" + std::to_string(i)},
                                 .claimant = {"entry-zone-a-0"}})});
    });
    PrintRow("key table: fold a claim", keys, "us", step.microseconds);
    PrintRow("key table: heap, a key", keys, "bytes", step.bytes);
  }
}

void MeasureHeartbeats() {
  for (const int held : {0, 20, 200}) {
    dn::HeartbeatFields fields{.from = {"entry-zone-a-0"},
                               .incarnation = 1'764'841'234'567'890,
                               .membership_offset = 12345,
                               .free = {dn::FreeSlots({.service = {"refill-desk"}, .free = 12})},
                               .revision = 99};
    for (int i = 0; i < held; ++i) {
      fields.held.push_back(dn::Slot(
          {.worker = {"zone-a-" + std::to_string(i)}, .service = {"refill-desk"}, .index = 3}));
    }
    const dn::Heartbeat heartbeat(fields);
    const std::string call = dn::EncodeRpcCall(dn::kHeartbeatMethod, dn::EncodeText(heartbeat));
    PrintRow("heartbeat: bytes", held, "bytes", static_cast<double>(call.size()));
    const Cost cost = Measure(100, [&](int) {
      (void)dn::EncodeRpcCall(dn::kHeartbeatMethod, dn::EncodeText(heartbeat));
      (void)dn::DecodeMessage<dn::Heartbeat>(dn::EncodeText(heartbeat)).has_value();
    });
    PrintRow("heartbeat: codec, both ways", held, "us", cost.microseconds);
  }
}

void MeasureConfigurations() {
  for (const int services : {100, 300, 900}) {
    const dn::Configuration configuration = MakeConfiguration(services);
    const std::string text = dn::EncodeText(configuration);
    PrintRow("configuration: bytes, a service", services, "bytes",
             static_cast<double>(text.size()) / services);
    const Cost decode =
        Measure(2, [&](int) { (void)dn::DecodeMessage<dn::Configuration>(text).has_value(); });
    PrintRow("configuration: decode, a service", services, "us", decode.microseconds / services);
  }
}

}  // namespace

int main() {
  std::cout << std::left << std::setw(46) << "slope" << std::right << std::setw(9) << "size"
            << std::setw(14) << "cost" << '\n';
  MeasureSlotTables();
  MeasureKeys();
  MeasureHeartbeats();
  MeasureConfigurations();
  return 0;
}
