// SPDX-License-Identifier: Apache-2.0

/// @file
/// A backend as the model has it: slots with a queue before them, work in ms of a standard core, and slow
/// start. It can be made slow, faulty or paused.
#ifndef BADGERBRIDGE_SIMULATOR_BACKEND_H_
#define BADGERBRIDGE_SIMULATOR_BACKEND_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "simulator/event_queue.h"
#include "simulator/random.h"

namespace badgerbridge::simulator {

/// What a backend can do.
struct BackendModel {
  int slots = 8;            ///< Jobs that run at once.
  int queue_capacity = 64;  ///< Jobs that wait; more are rejected.
  double speed = 1;         ///< Work per ms of one slot, once warm.
  /// Slow start and overload, as balancer::Settings has them.
  double slow_start_floor = 1;
  Duration slow_start_window{0};       ///< How long slow start takes.
  double overload_factor = 0;          ///< 0: it never fails from overload.
  Duration overload_duration{0};       ///< Over which received work is summed.
  bool can_fail_from_overload = true;  ///< false: it runs on, and only RuleChecker judges what it received.
};

/// A job at a backend, numbered by the caller.
using JobId = std::uint64_t;

/// One backend on an event queue. In slow start it grows evenly with time from the floor to its full speed;
/// if it receives more than `overload_factor` of what it can do, over `overload_duration`, it fails.
class Backend final {
 public:
  /// What became of a job on its arrival.
  enum class Admission {
    kRunning,     ///< It runs.
    kQueued,      ///< It waits for a slot.
    kRejected,    ///< The queue is full.
    kOverloaded,  ///< The backend has failed from it, as by Stop.
  };

  /// Receives the course of jobs, from within calls of the backend and from events.
  class Observer {
   public:
    /// A job begins to run.
    virtual void OnJobStarted(TimePoint now, std::size_t backend, JobId job) = 0;
    /// A job has ended; not `succeeded`: its response is an error.
    virtual void OnJobFinished(TimePoint now, std::size_t backend, JobId job, bool succeeded) = 0;
    /// The backend has stopped: the job, which waited or ran, ends without a response.
    virtual void OnJobDropped(TimePoint now, std::size_t backend, JobId job) = 0;

   protected:
    ~Observer() = default;
  };

  /// `index` names it to the observer. Queue and observer must outlive it. It is not running until Start.
  Backend(EventQueue& queue, Observer& observer, std::size_t index, BackendModel model, Random random);

  /// Starts as a new process, in slow start. `up_since` 0: it has been up for long, and is warm.
  void Start(TimePoint up_since);
  /// Ends its process, with all jobs.
  void Stop(TimePoint now);
  /// Whether its process runs.
  bool is_up() const { return is_up_; }
  /// When its process has started, or the last one that it had.
  TimePoint up_since() const { return up_since_; }

  /// A complete request has arrived; `work` in ms of a standard core.
  Admission Submit(TimePoint now, JobId job, double work);

  /// Its speed as a share of the speed once warm.
  double WarmFraction(TimePoint now) const;

  /// Jobs that begin from here on take `factor` times as long.
  void SetSlowdown(double factor) { slowdown_ = factor; }
  /// This share of responses are errors.
  void SetErrorShare(double share) { error_share_ = share; }
  /// No job ends before `until`.
  void PauseUntil(TimePoint until) { paused_until_ = until; }

  /// Jobs that run.
  int running() const { return running_; }
  /// Jobs that wait.
  std::size_t queued() const { return queued_jobs_.size(); }
  /// Time that slots were in use, ms, summed over slots.
  double busy_ms() const { return busy_ms_; }

 private:
  struct Job {
    JobId id;
    double work;
  };
  struct ReceivedWork {
    TimePoint at;
    double work;
  };

  void Run(TimePoint now, const Job& job);
  void ScheduleEnd(TimePoint at, JobId job);
  void Finish(TimePoint now, JobId job, std::uint64_t incarnation);
  bool IsOverloadedBy(TimePoint now, double work);

  EventQueue& queue_;
  Observer& observer_;
  const std::size_t index_;
  const BackendModel model_;
  Random random_;
  bool is_up_ = false;
  TimePoint up_since_{};
  TimePoint paused_until_{};
  std::uint64_t incarnation_ = 0;  // of the process; jobs of an older one have ended
  double slowdown_ = 1;
  double error_share_ = 0;
  double busy_ms_ = 0;
  int running_ = 0;
  std::deque<Job> queued_jobs_;
  std::vector<JobId> running_jobs_;
  std::deque<ReceivedWork> received_;  // in slow start, within the overload duration
  double received_work_ = 0;           // the sum of received_
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_BACKEND_H_
