#ifndef REVIEW_STANDINS_2_WORKER_H_
#define REVIEW_STANDINS_2_WORKER_H_

#include <unistd.h>

#include <optional>
#include <set>

#include "store.h"

// Workers ("minions") that run tasks on orders, as the users' protocol page describes them.
namespace review {

struct Capacity {
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
};

// What a worker has to know of a task, and what only the test knows: how long a run of it takes and
// how it ends.
struct TaskPlan {
  Capacity need;
  Millis duration{1000};
  bool fails = false;  // At the end of `duration`.
  bool checkpointing = false;
  int gang_size = 0;  // 0: not a gang.
};

struct WorkerSpec {
  std::string id;
  Address address;
  std::string service;
  std::string zone;
  Capacity capacity;
  std::vector<std::string> labels;  // Kind and rack.
};

struct StartSeen {
  std::string task;
  std::int64_t run = 0;
  std::string checkpoint;
  std::string worker;
};

class Worker;

// The runs of gangs over all workers: a gang works from the moment when all its members are there.
class Gangs {
 public:
  explicit Gangs(EventLoop& loop) : loop_(loop) {}

  void Join(const std::string& task, std::int64_t run, int size, Worker* worker);
  // A member has done its work. All members end as "done" together once all have.
  void OnWorkDone(const std::string& task, std::int64_t run);
  // A member has ended. If the gang was at work, the others end as "broken".
  void OnMemberEnded(const std::string& task, std::int64_t run, const std::string& how);

 private:
  static constexpr Millis kGangTimeout{3000};
  struct Run {
    std::map<std::string, Worker*> members;
    std::set<std::string> done;
    bool complete = false;
    bool over = false;
  };
  static std::string KeyOf(const std::string& task, std::int64_t run) {
    return task.substr(0, task.rfind('.')) + "#" + std::to_string(run);
  }

  EventLoop& loop_;
  std::map<std::string, Run> runs_;
};

class Worker {
 public:
  static constexpr Millis kHeartbeat{1100};
  static constexpr std::int64_t kMaxHoldMs = 10000;
  static constexpr Millis kStopTime{100};
  static constexpr Millis kCheckpointTime{1000};
  static constexpr Millis kRestoreTime{600};
  static constexpr std::size_t kMaxListedEnds = 500;

  // The plan of a task on this worker, by its name and the number of the run.
  using Planner = std::function<TaskPlan(const Worker&, const std::string&, std::int64_t)>;
  using Recorder = std::function<void(const std::string&)>;

  Worker(EventLoop& loop, Store& store, Gangs& gangs, WorkerSpec spec, Planner planner,
         Recorder recorder)
      : loop_(loop),
        store_(store),
        gangs_(gangs),
        spec_(std::move(spec)),
        planner_(std::move(planner)),
        recorder_(std::move(recorder)),
        server_(loop, spec_.address,
                [this](const Request& request, const ConnectionPtr& to) { Handle(request, to); }) {}

  const WorkerSpec& spec() const { return spec_; }
  // Number of ends that have been listed for `duration` or longer and are not acknowledged.
  std::size_t UnacknowledgedFor(Millis duration) const {
    const Time latest = Clock::now() - duration;
    return static_cast<std::size_t>(
        std::count_if(ends_.begin(), ends_.end(),
                      [latest](const EndedRun& it) { return it.listed_at <= latest; }));
  }

  // Called for each run that has begun.
  std::function<void(const Worker&, const StartSeen&)> on_start;
  // Called for each run that has ended, with how.
  std::function<void(const Worker&, const std::string&, std::int64_t, const std::string&)> on_end;

  // Starts a new life. The worker is registered before it can be called.
  void Start() {
    ++life_;
    timeval now{};
    gettimeofday(&now, nullptr);
    born_ = static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_usec / 1000;
    began_ = Clock::now();
    token_ = 0;
    lease_end_ = 0;
    next_end_ = 1;
    seq_ = 0;
    used_ = {};
    Heartbeat(life_);
    server_.Start();
  }

  // As Start(), after a crash, as a worker of another kind.
  void StartAs(const Capacity& capacity, const std::vector<std::string>& labels) {
    spec_.capacity = capacity;
    spec_.labels = labels;
    Start();
  }

  // Ends the life without a word. The entry stays for three heartbeat intervals.
  void Crash() {
    ++life_;
    server_.Stop();
    for (const auto& [task, run] : std::exchange(runs_, {})) {
      if (run.plan.gang_size > 0) gangs_.OnMemberEnded(task, run.number, "crashed");
      if (on_end) on_end(*this, task, run.number, "crashed");
    }
    ends_.clear();
    refused_up_to_.clear();
    waiting_hold_.reset();
    loop_.After(3 * kHeartbeat, [this, life = life_] {
      if (life == life_) store_.Put("keyed.servers", spec_.id, "");
    });
  }

  void BeginWork(const std::string& task, std::int64_t number) {
    const auto it = runs_.find(task);
    if (it == runs_.end() || it->second.number != number) return;
    Run& run = it->second;
    run.working_since = Clock::now() + (run.checkpoint.empty() ? Millis(0) : kRestoreTime);
    run.at_work = true;
    Millis left = run.plan.duration - run.worked_before;
    if (!run.checkpoint.empty()) left += kRestoreTime;
    loop_.After(std::max(left, Millis(0)), [this, task, number, life = life_] {
      if (life == life_) OnWorkDone(task, number);
    });
  }

  // Ends a run, if it is there.
  void End(const std::string& task, std::int64_t number, const std::string& how) {
    const auto it = runs_.find(task);
    if (it == runs_.end() || it->second.number != number) return;
    const Run run = it->second;
    const std::string saved = run.plan.checkpointing ? SavedBy(run) : "";
    runs_.erase(it);
    used_.cpu -= run.plan.need.cpu;
    used_.mem_mb -= run.plan.need.mem_mb;
    std::int64_t& refused = refused_up_to_[task];
    refused = std::max(refused, number);
    ends_.push_back({next_end_++, task, number, how, saved, Clock::now()});
    recorder_("end " + spec_.id + " " + task + " run " + std::to_string(number) + " " + how);
    if (on_end) on_end(*this, task, number, how);
    if (run.plan.gang_size > 0 && how != "broken") gangs_.OnMemberEnded(task, number, how);
    AnswerWaitingHold();
  }

 private:
  using json = nlohmann::json;

  struct Run {
    std::int64_t number = 0;
    TaskPlan plan;
    std::string checkpoint;  // From which it was started.
    Millis worked_before{};
    bool at_work = false;
    Time working_since{};
  };
  struct EndedRun {
    std::int64_t number;
    std::string task;
    std::int64_t run;
    std::string how;
    std::string saved;
    Time listed_at;
  };
  struct WaitingHold {
    ConnectionPtr to;
  };

  std::int64_t ClockMs() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - began_).count();
  }

  void Heartbeat(std::uint64_t life) {
    if (life != life_) return;
    const json entry{
        {"service", spec_.service},
        {"address", spec_.address.Text()},
        {"zone", spec_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"capacity", {{"cpu", spec_.capacity.cpu}, {"memMb", spec_.capacity.mem_mb}, {"gpu", 0}}},
        {"labels", spec_.labels},
        {"clockMs", ClockMs()},
        {"born", born_},
        {"seq", ++seq_}};
    store_.Put("keyed.servers", spec_.id, entry.dump());
    loop_.After(kHeartbeat, [this, life] { Heartbeat(life); });
  }

  static Millis WorkedBy(const Run& run) {
    if (!run.at_work) return run.worked_before;
    const auto worked = std::chrono::duration_cast<Millis>(Clock::now() - run.working_since);
    return run.worked_before + std::max(worked, Millis(0));
  }

  // A checkpoint holds the time worked, in whole units of kCheckpointTime.
  static std::string SavedBy(const Run& run) {
    const auto units = WorkedBy(run) / kCheckpointTime;
    return units == 0 ? run.checkpoint : "cp-" + std::to_string(units);
  }

  void OnWorkDone(const std::string& task, std::int64_t number) {
    const auto it = runs_.find(task);
    if (it == runs_.end() || it->second.number != number) return;
    const TaskPlan& plan = it->second.plan;
    if (plan.gang_size > 0 && !plan.fails) return gangs_.OnWorkDone(task, number);
    End(task, number, plan.fails ? "failed" : "done");
  }

  void Answer(const ConnectionPtr& to, int status, json body) const {
    body["clockMs"] = ClockMs();
    body["born"] = born_;
    to->Respond(status, body.dump());
  }

  void Refuse(const ConnectionPtr& to, const char* reason) const {
    Answer(to, 409, {{"reason", reason}});
  }

  void Handle(const Request& request, const ConnectionPtr& to) {
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != spec_.id) return to->Respond(421, "{}");
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return Answer(to, 400, json::object());
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < token_) return Refuse(to, "fence");
    token_ = token;
    if (request.path == "/run-start") return HandleStart(body, to);
    if (request.path == "/run-stop") return HandleStop(body, to);
    if (request.path == "/hold") return HandleHold(body, to);
    if (request.path == "/pace") return Answer(to, 200, json::object());
    to->Respond(404, "{}");
  }

  void ExtendLease(const json& body) {
    if (!body.contains("deadlineMs")) return;
    const std::int64_t end =
        std::min(body["deadlineMs"].get<std::int64_t>(), ClockMs() + kMaxHoldMs);
    if (end <= lease_end_) return;
    lease_end_ = end;
    loop_.After(Millis(end - ClockMs() + 1), [this, life = life_] {
      if (life == life_ && ClockMs() > lease_end_) LapseAll();
    });
  }

  void LapseAll() {
    std::vector<std::pair<std::string, std::int64_t>> runs;
    for (const auto& [task, run] : runs_) runs.emplace_back(task, run.number);
    for (const auto& [task, number] : runs) End(task, number, "lapsed");
  }

  void HandleStart(const json& body, const ConnectionPtr& to) {
    const std::string task = body.at("task");
    const std::int64_t number = body.at("run");
    if (body.at("deadlineMs").get<std::int64_t>() <= ClockMs()) return Refuse(to, "late");
    ExtendLease(body);
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.number == number) return Answer(to, 200, json::object());
    const auto refused = refused_up_to_.find(task);
    if (it != runs_.end() || (refused != refused_up_to_.end() && number <= refused->second))
      return Refuse(to, "old");
    Run run;
    run.number = number;
    run.plan = planner_(*this, task, number);
    run.checkpoint = body.value("checkpoint", std::string());
    if (run.checkpoint.starts_with("cp-"))
      run.worked_before = kCheckpointTime * std::stol(run.checkpoint.substr(3));
    used_.cpu += run.plan.need.cpu;
    used_.mem_mb += run.plan.need.mem_mb;
    const TaskPlan plan = run.plan;
    const StartSeen seen{task, number, run.checkpoint, spec_.id};
    runs_[task] = std::move(run);
    recorder_("start " + spec_.id + " " + task + " run " + std::to_string(number) +
              (seen.checkpoint.empty() ? "" : " from " + seen.checkpoint) + " used " +
              std::to_string(used_.cpu) + " of " + std::to_string(spec_.capacity.cpu));
    Answer(to, 200, json::object());
    if (on_start) on_start(*this, seen);
    if (plan.gang_size > 0) {
      gangs_.Join(task, number, plan.gang_size, this);
    } else {
      BeginWork(task, number);
    }
  }

  void HandleStop(const json& body, const ConnectionPtr& to) {
    const std::string task = body.at("task");
    const std::int64_t number = body.at("run");
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.number <= number) {
      const std::int64_t present = it->second.number;
      loop_.After(kStopTime, [this, task, present, life = life_] {
        if (life == life_) End(task, present, "stopped");
      });
    }
    std::int64_t& refused = refused_up_to_[task];
    refused = std::max(refused, number);
    Answer(to, 200, json::object());
  }

  void HandleHold(const json& body, const ConnectionPtr& to) {
    ExtendLease(body);
    const std::int64_t seen = body.value("ackCursor", std::int64_t{0});
    std::erase_if(ends_, [seen](const EndedRun& it) { return it.number <= seen; });
    const std::int64_t wait = body.value("waitMs", std::int64_t{0});
    AnswerWaitingHold();
    if (wait == 0 || !ends_.empty()) return AnswerHold(to);
    const auto hold = std::make_shared<WaitingHold>(WaitingHold{to});
    waiting_hold_ = hold;
    loop_.After(Millis(wait), [this, hold] {
      if (waiting_hold_ == hold) AnswerWaitingHold();
    });
  }

  void AnswerWaitingHold() {
    const auto hold = std::exchange(waiting_hold_, nullptr);
    if (hold != nullptr) AnswerHold(hold->to);
  }

  void AnswerHold(const ConnectionPtr& to) const {
    json running = json::array();
    for (const auto& [task, run] : runs_) {
      const auto percent =
          std::min<std::int64_t>(99, WorkedBy(run) * 100 / std::max(run.plan.duration, Millis(1)));
      running.push_back({task, run.number, run.plan.checkpointing ? SavedBy(run) : "", percent,
                         run.plan.need.cpu});
    }
    json finished = json::array();
    for (const EndedRun& it : ends_) {
      if (finished.size() >= kMaxListedEnds) break;
      finished.push_back({it.number, it.task, it.run, it.how, it.saved});
    }
    Answer(to, 200, {{"running", running}, {"finished", finished}});
  }

  EventLoop& loop_;
  Store& store_;
  Gangs& gangs_;
  WorkerSpec spec_;
  Planner planner_;
  Recorder recorder_;
  HttpServer server_;
  std::uint64_t life_ = 0;
  std::int64_t born_ = 0;
  Time began_{};
  std::int64_t token_ = 0;
  std::int64_t lease_end_ = 0;
  std::int64_t next_end_ = 1;
  std::int64_t seq_ = 0;
  Capacity used_;
  std::map<std::string, Run> runs_;
  std::vector<EndedRun> ends_;
  std::map<std::string, std::int64_t> refused_up_to_;
  std::shared_ptr<WaitingHold> waiting_hold_;
};

inline void Gangs::Join(const std::string& task, std::int64_t number, int size, Worker* worker) {
  const std::string key = KeyOf(task, number);
  Run& run = runs_[key];
  run.members[task] = worker;
  if (run.over) {
    // The others have ended before this member came.
    loop_.After(Millis(0), [worker, task, number] { worker->End(task, number, "broken"); });
    return;
  }
  if (static_cast<int>(run.members.size()) == size) {
    run.complete = true;
    for (const auto& [member, at] : run.members) at->BeginWork(member, number);
    return;
  }
  loop_.After(kGangTimeout, [this, key, task, number, worker] {
    if (!runs_[key].complete) worker->End(task, number, "alone");
  });
}

inline void Gangs::OnWorkDone(const std::string& task, std::int64_t number) {
  Run& run = runs_[KeyOf(task, number)];
  run.done.insert(task);
  if (run.over || run.done.size() < run.members.size()) return;
  run.over = true;
  for (const auto& [member, worker] : std::exchange(run.members, {}))
    worker->End(member, number, "done");
}

inline void Gangs::OnMemberEnded(const std::string& task, std::int64_t number,
                                 const std::string& how) {
  Run& run = runs_[KeyOf(task, number)];
  run.members.erase(task);
  if (how == "done" || !run.complete || run.over) return;
  run.over = true;
  // At the next turn, so that members that fail at the same moment are listed as failed.
  loop_.After(Millis(20), [this, key = KeyOf(task, number), number] {
    const auto members = std::exchange(runs_[key].members, {});
    for (const auto& [member, at] : members) at->End(member, number, "broken");
  });
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_WORKER_H_
