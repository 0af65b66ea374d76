// Pool of idle upstream connections, grouped by a key.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "runtime/internal/lock_order.h"
#include "runtime/internal/upstream_connection.h"

namespace dn {

using UpstreamPtr = std::unique_ptr<UpstreamConnection>;

// Idle connections by key, at most `max_idle` for each key. Thread-safe.
template <class Key>
class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t max_idle) : max_idle_(max_idle) {}

  // Returns an idle connection of `key` that is still usable, or else a new
  // connection to `to`. kUnreachable if none is open by `deadline`.
  Task<Result<UpstreamPtr>> Take(Key key, Endpoint to, Time deadline) {
    while (true) {
      UpstreamPtr idle = TakeIdle(key);
      if (!idle) break;
      if (idle->Usable()) co_return idle;
    }
    co_return co_await UpstreamConnection::Connect(to, deadline);
  }

  // Makes a connection available for reuse. Closes it if it cannot carry another
  // request or if `key` already has `max_idle` idle connections.
  void Put(const Key& key, UpstreamPtr connection) {
    if (!connection->MayReuse()) return;
    idle_.With([&](Idle& idle) {
      auto& list = idle[key];
      if (list.size() < max_idle_) list.push_back(std::move(connection));
    });
  }

  // Closes the idle connections of `key`.
  void Drop(const Key& key) {
    idle_.With([&](Idle& idle) { idle.erase(key); });
  }

 private:
  using Idle = std::map<Key, std::vector<UpstreamPtr>>;

  UpstreamPtr TakeIdle(const Key& key) {
    return idle_.With([&](Idle& idle) -> UpstreamPtr {
      const auto found = idle.find(key);
      if (found == idle.end() || found->second.empty()) return nullptr;
      UpstreamPtr taken = std::move(found->second.back());
      found->second.pop_back();
      return taken;
    });
  }

  const std::size_t max_idle_;
  Shared<Idle, LockRank::kConnections> idle_;
};

}  // namespace dn
