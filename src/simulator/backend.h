// SPDX-License-Identifier: Apache-2.0
//
// A backend as the model has it: so many slots, a queue before them, work in ms of a standard core, cold
// after its start and warming evenly with time. Sent more than a multiple of what it can do for a while, it
// falls over and stays down. It can be made slow, wrong or paused.
#ifndef BADGERBRIDGE_SIMULATOR_BACKEND_H_
#define BADGERBRIDGE_SIMULATOR_BACKEND_H_

#include <deque>
#include <utility>

#include "simulator/event_queue.h"
#include "simulator/random.h"

namespace badgerbridge::simulator {

struct BackendModel {
  int slots = 8, queue = 64;
  double speed = 1;  // work a ms of one slot, once warm
  // The rules' words (balancer::Settings).
  double slow_start_floor = 1;
  Duration slow_start_window{0};
  double overload_factor = 0;  // 0: it never falls over
  Duration overload_duration{0};
  bool falls = true;  // false: it stands whatever it is sent, and the referee alone judges
};

using JobId = std::uint64_t;

class Backend final : public Actor {
 public:
  enum class Begin { kRuns, kQueued, kFull, kFell };
  class Watcher {
   public:
    virtual void Began(TimePoint now, std::size_t backend, JobId job) = 0;
    // `right` is false where the answer is an error.
    virtual void Finished(TimePoint now, std::size_t backend, JobId job, bool right) = 0;
    // It died: what waited or ran ends with no answer.
    virtual void Dropped(TimePoint now, std::size_t backend, JobId job) = 0;

   protected:
    ~Watcher() = default;
  };

  Backend(EventQueue& queue, Watcher& watcher, std::size_t index, BackendModel model, Random random);

  // It starts, cold, as a new process. `up_since` 0: long ago, and warm.
  void Start(TimePoint up_since);
  void Die(TimePoint now);
  bool up() const { return up_; }
  TimePoint up_since() const { return up_since_; }

  // A whole request has come. kFell: this one pushed it over; it is down, as by Die.
  Begin Take(TimePoint now, JobId job, double work);

  double WarmShare(TimePoint now) const;
  // Work a ms that it can do now.
  double Capacity(TimePoint now) const { return model_.slots * model_.speed * WarmShare(now) / slow_; }

  void Slow(double factor) { slow_ = factor; }            // of what begins from here on
  void Wrong(double share) { wrong_ = share; }            // of its answers are errors
  void Pause(TimePoint until) { paused_until_ = until; }  // nothing begins or ends before

  int running() const { return running_; }
  std::size_t queued() const { return waiting_.size(); }
  double busy_ms() const { return busy_ms_; }  // slots' time, summed
  std::uint64_t taken() const { return taken_; }

 private:
  struct Job {
    JobId id;
    double work;
  };

  void On(TimePoint now, std::uint32_t what, std::uint64_t job, std::uint64_t incarnation) override;
  void Run(TimePoint now, const Job& job);
  bool Overwhelmed(TimePoint now, double work);

  EventQueue& queue_;
  Watcher& watcher_;
  const std::size_t index_;
  const BackendModel model_;
  Random random_;
  bool up_ = false;
  TimePoint up_since_{}, paused_until_{};
  std::uint64_t incarnation_ = 0;  // of the process: what an older one had begun has ended with it
  double slow_ = 1, wrong_ = 0, busy_ms_ = 0;
  int running_ = 0;
  std::uint64_t taken_ = 0;
  std::deque<Job> waiting_;
  std::vector<JobId> run_;                             // what runs
  std::deque<std::pair<TimePoint, double>> received_;  // while cold, within the rule's time
  double received_work_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_BACKEND_H_
