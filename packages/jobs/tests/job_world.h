#ifndef CACTUSSHELF_JOBS_TESTS_JOB_WORLD_H_
#define CACTUSSHELF_JOBS_TESTS_JOB_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/job_node.h"
#include "fake_store.h"
#include "fake_worker.h"

namespace cactusshelf::jobs {

// Faults that the world injects, as probabilities for each call and as times between events.
struct WorldFaults {
  double lost_store_answer = 0;   // The call took effect.
  double late_append = 0;         // No answer; takes effect up to 3 s later.
  double lost_worker_answer = 0;  // The order took effect.
  double late_order = 0;          // No answer; takes effect up to 5 s later.
  double failed_run = 0;
  double lost_peer_message = 0;
  Duration node_kill_period{};  // 0: never. A node starts again after up to 2 s.
  Duration node_freeze_period{};
  Duration store_cut_period{};  // One node loses the store for up to 5 s.
  Duration worker_crash_period{};
  Duration worker_cut_period{};  // One worker is unreachable for up to 6 s and runs on.
};

struct WorldOptions {
  bool relays = true;   // Owners may hand orders to other nodes.
  JobNodeOptions node;  // Without names and addresses.
};

// Job nodes, a store and workers under virtual time, with seeded delays and faults. Checks with
// each start what must always hold, and collects what does not.
class JobWorld {
 public:
  JobWorld(std::uint64_t seed, int nodes, int workers, const WorldFaults& faults,
           const WorldOptions& options = {});
  ~JobWorld();

  // Submits to a random node until it is accepted or refused five times. Returns its key.
  JobKey Submit(JobSpec spec);
  void Cancel(const JobKey& key);

  void RunFor(Duration duration);
  void StopFaults() { faults_ = {}; }

  Time now() const { return now_; }
  Random& random() { return random_; }
  // State that the nodes' callers are shown, or nothing for a job that was not accepted.
  JobState StateOf(const JobKey& key);
  bool accepted(const JobKey& key) const { return accepted_.contains(key); }
  std::vector<JobKey> accepted_jobs() const;
  int owners() const;
  int running_tasks() const;
  std::uint64_t starts() const { return starts_; }
  const std::vector<std::string>& violations() const { return violations_; }
  FakeWorker& worker(int i) { return *workers_[static_cast<std::size_t>(i)]; }
  FakeStore& store() { return store_; }
  int CellsOfWorld();
  void KillAllNodes();
  // Workers that are leaving are listed so.
  void DrainWorker(int i);
  void FreezeNode(int i, Duration duration);
  // The store turns one node away.
  void CutStore(int i, Duration duration);
  // Submits to one node, once.
  JobKey SubmitTo(int i, JobSpec spec);
  // The first node that owns a cell, or -1.
  int Owner() const;
  void CutWorker(int i, Duration duration);
  void CrashWorker(int i);
  void HangWorker(int i) { worker(i).Hang(now_); }
  std::string Log(const std::string& part) const;

 private:
  struct Node {
    std::string host;
    std::unique_ptr<JobNode> node;
    int life = 0;
    Time frozen_until;
    Time store_cut_until;
    std::vector<JobEvent> held;  // While frozen.
    bool timer_set = false;
  };
  struct Submitted {
    JobSpec spec;
    Time cancelled;  // Acknowledged; zero if not.
    bool refused_only = true;
  };
  struct Event {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(Time at, std::function<void()> action);
  Duration Delay();
  void StartNode(int i);
  void KillNode(int i);
  void Deliver(int i, int life, JobEvent event);
  void CarryOut(int i);
  void ArmTimer(int i);
  void Perform(int i, const job_effect::Reply& reply);
  void Perform(int i, const job_effect::ReadRecords& read);
  void Perform(int i, const job_effect::ReadNewest& read);
  void Perform(int i, const job_effect::Append& append);
  void Perform(int i, const job_effect::Order& order);
  void Perform(int i, const job_effect::SendToPeer& message);
  void Perform(int i, const job_effect::WriteLogEvent& event);
  void Perform(int i, const job_effect::Stop& stop);
  // Keeps when and by whom starts were decided, unless that is known already.
  void NoteGiven(int i, const WorkerOrder& order);
  template <typename Order, typename Call, typename Done>
  void PerformOrder(int i, const Order& order, Call call, Done done);
  JobKey NewJob(JobSpec spec);
  void Request(const JobKey& key, Verb verb, int tries);
  void RequestFrom(int i, const JobKey& key, Verb verb, int tries);
  void ScheduleFaults();
  void Every(Duration WorldFaults::*period, const std::function<void()>& action);
  void CheckStart(const FakeWorker& worker, const StartOrder& order);
  void Violation(const std::string& text);
  bool DoneIsKnown(const StartOrder& order);
  job_event::AppendDone AppendNow(const job_effect::Append& append);
  FakeWorker* FindWorker(const std::string& id);
  Now Clock() const;

  Random random_;
  WorldFaults faults_;
  WorldOptions options_;
  Time now_{std::chrono::seconds(1)};
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  FakeStore store_;
  std::map<std::pair<int, std::int64_t>, Time> stored_at_;  // By cell and offset.
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::map<std::string, Time> worker_cut_until_;
  std::map<JobKey, Submitted> jobs_;
  std::map<JobKey, bool> accepted_;
  std::uint64_t next_caller_ = 1;
  struct Waiting {
    JobKey key;
    Verb verb{};
    int tries = 0;
  };
  std::map<CallerId, Waiting> waiting_;
  std::map<JobKey, JobState> states_;
  // Of the order that a worker carries out now.
  struct Given {
    Time at;
    bool in_touch = true;
  };
  std::map<std::pair<TaskRef, std::int64_t>, Given> given_;  // Starts, by run.
  Time order_sent_;
  bool sender_in_touch_ = true;
  std::uint64_t starts_ = 0;
  std::vector<std::string> violations_;
  std::vector<std::string> log_;
};

// Both clocks of a host at `time`, started together.
Now NowAt(Time time);

// A job of one step of `count` tasks with the given processors.
JobSpec SimpleJob(int count, std::int64_t milliprocessors);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_JOB_WORLD_H_
