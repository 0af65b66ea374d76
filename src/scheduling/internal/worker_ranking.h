// The workers that accept a task of a step, by cost. A placement changes the cost of its worker
// only, so that one search of all workers serves all tasks of the step.
#pragma once

#include <optional>
#include <queue>
#include <vector>

#include "scheduling/internal/worker_table.h"

namespace dn {

class WorkerRanking {
 public:
  // Adds a worker that accepts the step's tasks.
  void Add(WorkerRow& worker, double cost) {
    entries_.push({.cost = cost, .order = added_++, .worker = &worker});
  }
  // Returns the worker with the lowest cost, of several the one that was added first; null if no
  // worker is left.
  WorkerRow* Best() const { return entries_.empty() ? nullptr : entries_.top().worker; }
  // Replaces the cost of Best(); nothing: it accepts no other task of the step.
  void UpdateBest(std::optional<double> cost) {
    Entry entry = entries_.top();
    entries_.pop();
    if (!cost) return;
    entry.cost = *cost;
    entries_.push(entry);
  }

 private:
  struct Entry {
    double cost = 0;
    int order = 0;  // Of the calls of Add().
    WorkerRow* worker = nullptr;

    // std::priority_queue returns the largest entry first.
    friend bool operator<(const Entry& a, const Entry& b) {
      return a.cost != b.cost ? a.cost > b.cost : a.order > b.order;
    }
  };

  std::priority_queue<Entry> entries_;
  int added_ = 0;
};

}  // namespace dn
