#ifndef CACTUSSHELF_REVIEW_STANDINS_SITE_H_
#define CACTUSSHELF_REVIEW_STANDINS_SITE_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

// Stand-ins for the users' platform, as PROTOCOL.md describes it: the metadata store (a log with
// keyed topics), workers, and the record from which the rules are judged.
namespace review {

using nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// Everything that was sent, answered and run, and the check of the rule TWICE. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), begun_(std::chrono::steady_clock::now()) {}

  double Now() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_).count();
  }

  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    Write(text);
  }

  // A worker has begun a run. `life` names the worker and its incarnation.
  void Start(const std::string& life, const std::string& task, std::int64_t run) {
    const std::lock_guard lock(mutex_);
    Write("start " + life + " task=" + task + " run=" + std::to_string(run));
    ++starts_;
    last_started_ = life;
    for (const Open& it : open_[task]) {
      Break("TWICE", "two runs of task " + task + " at the same time: run " +
                         std::to_string(it.run) + " on " + it.life + ", run " +
                         std::to_string(run) + " on " + life);
    }
    open_[task].push_back({life, run});
    starts_of_[task].push_back({life, run, Now()});
  }

  // A run has ended, as the worker's list of ends says.
  void End(const std::string& life, const std::string& task, std::int64_t run,
           const std::string& how, std::int64_t number) {
    const std::lock_guard lock(mutex_);
    Write("end " + life + " number=" + std::to_string(number) + " task=" + task +
          " run=" + std::to_string(run) + " how=" + how);
    Close(life, task, run);
    if (how == "done") done_[{life, number}] = {task, run, Now(), false};
  }

  // The worker's process is gone, with all that it ran and knew.
  void Crash(const std::string& life) {
    const std::lock_guard lock(mutex_);
    Write("crash " + life);
    for (auto& [task, runs] : open_)
      std::erase_if(runs, [&](const Open& it) { return it.life == life; });
  }

  // `ackCursor` has reached an end. `lapsed`: the worker's lease lapsed between the two.
  void Acknowledge(const std::string& life, std::int64_t number, bool lapsed) {
    const std::lock_guard lock(mutex_);
    Write("acknowledged " + life + " number=" + std::to_string(number) + (lapsed ? " lapsed" : ""));
    const auto it = done_.find({life, number});
    if (it != done_.end() && !lapsed) it->second.noted = true;
  }

  // Judges the starts after an end `done` that was taken note of. Call once, at the end.
  void JudgeStartsAfterDone() {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, end] : done_) {
      if (!end.noted) continue;
      for (const Begun& it : starts_of_[end.task]) {
        if (it.at <= end.at) continue;
        Break("TWICE", "task " + end.task + ": run " + std::to_string(end.run) + " ended done on " +
                           key.first + " at " + Seconds(end.at) + " and was taken note of; run " +
                           std::to_string(it.run) + " started on " + it.life + " at " +
                           Seconds(it.at));
      }
    }
  }

  // When the last run of a task began, by the record's clock; -1 if none did.
  double LastStartOf(const std::string& task) {
    const std::lock_guard lock(mutex_);
    const auto& starts = starts_of_[task];
    return starts.empty() ? -1 : starts.back().at;
  }

  void BreakLost(const std::string& text) {
    const std::lock_guard lock(mutex_);
    Break("LOST", text);
  }

  // The worker that began a run last.
  std::string LastStarted() {
    const std::lock_guard lock(mutex_);
    return last_started_.substr(0, last_started_.find('/'));
  }

  int starts() const { return starts_; }
  int breaks() const { return breaks_; }

 private:
  struct Open {
    std::string life;
    std::int64_t run;
  };
  struct Begun {
    std::string life;
    std::int64_t run;
    double at;
  };
  struct Done {
    std::string task;
    std::int64_t run;
    double at;
    bool noted;
  };

  static std::string Seconds(double at) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f s", at);
    return text;
  }

  void Write(const std::string& text) { out_ << Seconds(Now()) << " " << text << std::endl; }

  void Break(const char* rule, const std::string& text) {
    ++breaks_;
    Write(std::string("BROKEN ") + rule + " " + text);
    if (breaks_ <= 5) std::printf("BROKEN %s %s\n", rule, text.c_str());
  }

  void Close(const std::string& life, const std::string& task, std::int64_t run) {
    std::erase_if(open_[task], [&](const Open& it) { return it.life == life && it.run == run; });
  }

  std::mutex mutex_;
  std::ofstream out_;
  SteadyTime begun_;
  std::map<std::string, std::vector<Open>> open_;
  std::map<std::string, std::vector<Begun>> starts_of_;
  std::map<std::pair<std::string, std::int64_t>, Done> done_;
  std::string last_started_;
  int starts_ = 0;
  int breaks_ = 0;
};

// The platform's store. Topics "keyed.*" and others, one mutex for all. Thread-safe.
class Store {
 public:
  Store() { listener_ = ListenOnFreePort(port_); }

  int port() const { return port_; }

  void Run() {
    std::thread([this] {
      while (true) {
        const int fd = accept(listener_, nullptr, nullptr);
        if (fd < 0) continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }

  // Calls get no answer and have no effect while the store is down.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
  }

  // A write of the platform's own: the operator's configuration or a worker's entry.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    std::string record(1, static_cast<char>(key.size()));
    Append(topics_[{topic, 0}], record + key + value);
    appended_.notify_all();
  }

 private:
  struct Producer {
    std::int64_t epoch = -1;
    std::int64_t sequence = -1;
    std::map<std::int64_t, json> answers;  // Of the last five appends.
  };
  struct Part {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::int64_t>> newest;  // Of keyed topics.
    std::map<std::string, Producer> producers;
  };

  static constexpr int kAnswerMs = 4;
  static constexpr int kAppendMs = 2;
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kPageBytes = 1 << 20;

  static std::string BigEndian(std::uint64_t value, int size) {
    std::string bytes;
    for (int i = size - 1; i >= 0; --i) bytes.push_back(static_cast<char>(value >> (8 * i)));
    return bytes;
  }

  static std::string Base64(const std::string& bytes) {
    static const char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t bits = 0;
      for (std::size_t k = 0; k < 3; ++k)
        bits = bits << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
      for (std::size_t k = 0; k < 4; ++k)
        text.push_back(i + k > bytes.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63]);
    }
    return text;
  }

  static void Append(Part& part, const std::string& record) {
    const auto key_size = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, key_size);
    const std::string value = record.substr(1 + key_size);
    const auto offset = static_cast<std::int64_t>(part.records.size());
    part.records.push_back(record);
    if (value.empty()) {
      part.newest.erase(key);
    } else {
      part.newest[key] = {value, offset};
    }
  }

  void Serve(int fd) {
    SocketReader reader(fd);
    while (auto request = ReadRequest(reader)) {
      SleepMs(kAnswerMs);
      {
        const std::lock_guard lock(mutex_);
        if (down_) break;
      }
      const Response response = Handle(*request);
      {
        const std::lock_guard lock(mutex_);
        if (down_) break;
      }
      const char* type =
          request->path == "/log-read" ? "application/octet-stream" : "application/json";
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: " +
                           type + "\r\nContent-Length: " + std::to_string(response.body.size()) +
                           "\r\n\r\n" + response.body))
        break;
    }
    // A connection on which a response is lost returns nothing further.
    char rest[4096];
    while (recv(fd, rest, sizeof(rest), 0) > 0) {
    }
    close(fd);
  }

  static std::int64_t Number(const Request& request, const char* name, std::int64_t otherwise) {
    const auto it = request.query.find(name);
    return it == request.query.end() ? otherwise : std::stoll(it->second);
  }

  Response Handle(const Request& request) {
    const auto topic = request.query.find("topic");
    if (topic == request.query.end()) return {404, "{}"};
    const std::pair<std::string, int> key{topic->second,
                                          static_cast<int>(Number(request, "part", 0))};
    std::unique_lock lock(mutex_);
    if (request.path == "/log-append") return HandleAppend(request, key);
    const auto it = topics_.find(key);
    if (it == topics_.end()) return {404, "{}"};
    Part& part = it->second;
    if (request.path == "/log-newest") return HandleNewest(request, part);
    if (request.path != "/log-read") return {404, "{}"};
    const auto from = static_cast<std::size_t>(Number(request, "from", 0));
    const auto until =
        std::chrono::steady_clock::now() + milliseconds(Number(request, "waitMs", 0));
    appended_.wait_until(lock, until, [&] { return part.records.size() > from || down_; });
    std::string body = BigEndian(part.records.size(), 8) + BigEndian(0, 8);
    const auto limit = static_cast<std::size_t>(Number(request, "maxKb", 1024)) << 10;
    for (std::size_t i = from; i < part.records.size() && body.size() < limit; ++i)
      body += BigEndian(part.records[i].size(), 4) + part.records[i];
    return {200, body};
  }

  Response HandleAppend(const Request& request, const std::pair<std::string, int>& key) {
    if (key.first == "keyed.op" || key.first == "keyed.servers") return {403, "{}"};
    std::vector<std::string> records;
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
      std::uint32_t size = 0;
      for (int i = 0; i < 4; ++i)
        size =
            size << 8 | static_cast<unsigned char>(request.body[at + static_cast<std::size_t>(i)]);
      records.push_back(request.body.substr(at + 4, size));
      at += 4 + size;
    }
    Part& part = topics_[key];
    const auto name = request.query.find("producer");
    const std::int64_t epoch = Number(request, "epoch", 0);
    const std::int64_t sequence = Number(request, "seq", 0);
    if (name != request.query.end()) {
      Producer& producer = part.producers[name->second];
      if (epoch < producer.epoch) return {409, R"({"reason":"fenced"})"};
      if (epoch == producer.epoch) {
        const auto repeat = producer.answers.find(sequence);
        if (repeat != producer.answers.end()) return {200, repeat->second.dump()};
        if (sequence != producer.sequence + 1)
          return {409, json{{"reason", "seq"}, {"seq", producer.sequence + 1}}.dump()};
      } else {
        producer.answers.clear();
      }
      producer.epoch = epoch;
      producer.sequence = sequence;
    }
    SleepMs(kAppendMs);
    const json answer = {{"offset", part.records.size()},
                         {"end", part.records.size() + records.size()}};
    for (const std::string& record : records) Append(part, record);
    if (name != request.query.end()) {
      auto& answers = part.producers[name->second].answers;
      answers[sequence] = answer;
      if (answers.size() > 5) answers.erase(answers.begin());
    }
    appended_.notify_all();
    return {200, answer.dump()};
  }

  static Response HandleNewest(const Request& request, const Part& part) {
    const auto after = request.query.find("dependsOn");
    auto it =
        after == request.query.end() ? part.newest.begin() : part.newest.upper_bound(after->second);
    json items = json::array();
    std::size_t bytes = 0;
    for (; it != part.newest.end() && items.size() < kPageItems && bytes < kPageBytes; ++it) {
      items.push_back(
          {{"key", it->first}, {"value", Base64(it->second.first)}, {"offset", it->second.second}});
      bytes += it->second.first.size();
    }
    return {
        200,
        json{{"items", items}, {"hasMore", it != part.newest.end()}, {"end", part.records.size()}}
            .dump()};
  }

  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable appended_;
  bool down_ = false;
  std::map<std::pair<std::string, int>, Part> topics_;
};

struct WorkerOptions {
  std::string id;
  std::string service = "batch";
  std::string zone = "zone-a";
  std::string rack = "r1";
  int cpu = 16000;
  int memory_mb = 64000;
};

// One minion. The specification of a job is the duration of its tasks in milliseconds, or 0 for
// tasks that last. After a power loss it starts again under the same id, and holds and knows
// nothing of before. Thread-safe.
class Worker {
 public:
  static constexpr int kHeartbeatMs = 1100;
  static constexpr std::int64_t kMaxHoldMs = 10000;
  static constexpr std::size_t kMaxListedEnds = 500;
  static constexpr int kTailMs = 10;      // Reported for tasks that last.
  static constexpr int kCpuInUse = 1000;  // Reported for other tasks.

  Worker(WorkerOptions options, Store& store, Record& record)
      : options_(std::move(options)), store_(store), record_(record) {
    listener_ = ListenOnFreePort(port_);
    Boot();
  }

  const std::string& id() const { return options_.id; }

  void Run() {
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Work(); }).detach();
    std::thread([this] { Heartbeat(); }).detach();
  }

  // The machine loses power for `ms` and starts again. Nothing that was sent to it is answered;
  // connections of before are reset once the other side sends on them after the start.
  void LosePower(std::int64_t ms) {
    {
      const std::lock_guard lock(mutex_);
      record_.Crash(LifeName());
      up_ = false;
      ++life_;
      runs_.clear();
      changed_.notify_all();
    }
    SleepMs(ms);
    const std::lock_guard lock(mutex_);
    Boot();
    record_.Line("started_again " + LifeName());
  }

  // The machine is lost for good. Returns the tasks that ran on it.
  std::vector<std::string> LoseForGood() {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> tasks;
    for (const auto& [task, run] : runs_) tasks.push_back(task);
    record_.Crash(LifeName());
    up_ = false;
    ++life_;
    runs_.clear();
    changed_.notify_all();
    return tasks;
  }

  std::size_t load() {
    const std::lock_guard lock(mutex_);
    return runs_.size();
  }

  // The worker is cut off from all entry hosts for `ms`, and runs on. What was sent to it meanwhile
  // is lost, since its senders give up earlier.
  void CutOff(std::int64_t ms) {
    SetCut(true);
    SleepMs(ms);
    SetCut(false);
  }

 private:
  void SetCut(bool cut) {
    const std::lock_guard lock(mutex_);
    cut_ = cut;
    changed_.notify_all();
    record_.Line((cut ? "cut_off " : "cut_healed ") + LifeName());
  }

  struct Running {
    std::int64_t number = 0;
    SteadyTime begun;
    SteadyTime end;
    bool lasts = false;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    double at = 0;
  };

  std::string LifeName() const { return options_.id + "/" + std::to_string(life_); }

  std::int64_t Clock() const {
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - booted_)
        .count();
  }

  void Boot() {
    up_ = true;
    booted_ = std::chrono::steady_clock::now();
    born_ = UnixMs();
    token_ = 0;
    deadline_ = 0;
    last_lapse_ = -1;
    next_end_ = 1;
    runs_.clear();
    ended_.clear();
    closed_runs_.clear();
    changed_.notify_all();
  }

  void Heartbeat() {
    std::int64_t sequence = 0;
    int silent = 0;
    while (true) {
      bool speaks = false;
      json entry;
      {
        const std::lock_guard lock(mutex_);
        speaks = up_;
        entry = {{"service", options_.service},
                 {"address", "127.0.0.1:" + std::to_string(port_)},
                 {"zone", options_.zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 0}}},
                 {"labels", {"a", options_.rack}},
                 {"clockMs", Clock()},
                 {"born", born_},
                 {"seq", ++sequence}};
      }
      if (speaks) {
        silent = 0;
        store_.Put("keyed.servers", options_.id, entry.dump());
        SetListed(true);
      } else if (++silent == 3) {
        store_.Put("keyed.servers", options_.id, "");
        SetListed(false);
      }
      SleepMs(kHeartbeatMs);
    }
  }

  void SetListed(bool listed) {
    const std::lock_guard lock(mutex_);
    if (listed_ != listed) record_.Line((listed ? "listed " : "unlisted ") + options_.id);
    listed_ = listed;
  }

  void Accept() {
    while (true) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Serve(fd);
        close(fd);
      }).detach();
    }
  }

  void Serve(int fd) {
    std::int64_t life = 0;
    bool reachable = false;
    {
      const std::lock_guard lock(mutex_);
      life = life_;
      reachable = up_ && !cut_;
    }
    SocketReader reader(fd);
    // A connection attempt to a machine that does not respond stays without an answer.
    while (reachable) {
      const auto request = ReadRequest(reader);
      if (!request) break;
      const Response response = Handle(*request, life);
      if (response.status == 0) {
        AwaitReset(fd, life);
        return;
      }
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
        break;
    }
    char rest[4096];
    while (recv(fd, rest, sizeof(rest), 0) > 0) {
    }
  }

  // The connection of an earlier life: silent until the peer sends once more.
  void AwaitReset(int fd, std::int64_t life) {
    char rest[4096];
    while (true) {
      const ssize_t n = recv(fd, rest, sizeof(rest), 0);
      if (n <= 0) break;
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [&] { return up_ && !cut_; });
      if (life == life_) continue;
      const linger hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      break;
    }
  }

  // Status 0: no answer.
  Response Handle(const Request& request, std::int64_t life) {
    std::unique_lock lock(mutex_);
    if (life != life_ || !up_ || cut_) return {0, ""};
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != options_.id) return {421, "{}"};
    const json body = json::parse(request.body);
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < token_) return Refuse("fence");
    token_ = token;
    if (request.path == "/run-start") return HandleStart(body);
    if (request.path == "/run-stop") return HandleStop(body);
    if (request.path == "/pace") return Answer(200, json::object());
    if (request.path == "/hold") return HandleHold(body, life, lock);
    return {404, "{}"};
  }

  Response Answer(int status, json body) {
    body["clockMs"] = Clock();
    body["born"] = born_;
    return {status, body.dump()};
  }

  Response Refuse(const char* reason) { return Answer(409, {{"reason", reason}}); }

  void ExtendLease(std::int64_t deadline) {
    const std::int64_t now = Clock();
    if (deadline_ < now) last_lapse_ = record_.Now();
    deadline_ = std::max(deadline_, std::min(deadline, now + kMaxHoldMs));
  }

  Response HandleStart(const json& body) {
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    const std::int64_t deadline = body.at("deadlineMs");
    if (deadline <= Clock()) return Refuse("late");
    ExtendLease(deadline);
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.number == run) return Answer(200, json::object());
    const auto closed = closed_runs_.find(task);
    if ((closed != closed_runs_.end() && run <= closed->second) || running != runs_.end())
      return Refuse("old");
    const auto now = std::chrono::steady_clock::now();
    const int ms = std::stoi(body.at("spec").get<std::string>());
    runs_[task] = {run, now, now + milliseconds(ms), ms == 0};
    record_.Start(LifeName(), task, run);
    changed_.notify_all();
    return Answer(200, json::object());
  }

  Response HandleStop(const json& body) {
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    const auto running = runs_.find(task);
    std::int64_t& closed = closed_runs_[task];
    if (running != runs_.end() && running->second.number <= run) EndRun(task, "stopped");
    closed = std::max(closed, run);
    return Answer(200, json::object());
  }

  Response HandleHold(const json& body, std::int64_t life, std::unique_lock<std::mutex>& lock) {
    const std::int64_t cursor = body.at("ackCursor");
    const bool lapsed_now = deadline_ < Clock();
    while (!ended_.empty() && ended_.front().number <= cursor) {
      const Ended& end = ended_.front();
      record_.Acknowledge(LifeName(), end.number, lapsed_now || last_lapse_ >= end.at);
      ended_.pop_front();
    }
    if (body.contains("deadlineMs") && !runs_.empty()) ExtendLease(body["deadlineMs"]);
    const auto until =
        std::chrono::steady_clock::now() + milliseconds(body.value("waitMs", std::int64_t{0}));
    changed_.wait_until(lock, until, [&] { return !ended_.empty() || life != life_ || cut_; });
    if (life != life_ || !up_ || cut_) return {0, ""};
    json running = json::array();
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [task, run] : runs_) {
      const double part = std::chrono::duration<double>(now - run.begun) /
                          std::chrono::duration<double>(run.end - run.begun);
      const int percent = run.lasts ? 100 : static_cast<int>(std::min(99.0, part * 100));
      running.push_back({task, run.number, "", percent, run.lasts ? kTailMs : kCpuInUse});
    }
    json finished = json::array();
    for (const Ended& it : ended_) {
      if (finished.size() >= kMaxListedEnds) break;
      finished.push_back({it.number, it.task, it.run, it.how, ""});
    }
    return Answer(200, {{"running", running}, {"finished", finished}});
  }

  void EndRun(const std::string& task, const char* how) {
    const auto it = runs_.find(task);
    const std::int64_t run = it->second.number;
    runs_.erase(it);
    std::int64_t& closed = closed_runs_[task];
    closed = std::max(closed, run);
    ended_.push_back({next_end_++, task, run, how, record_.Now()});
    record_.End(LifeName(), task, run, how, ended_.back().number);
    changed_.notify_all();
  }

  // Ends runs that are done, and all runs when the lease lapses.
  void Work() {
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        const bool lapsed = deadline_ < Clock();
        std::vector<std::string> over;
        for (const auto& [task, run] : runs_) {
          if (lapsed || (!run.lasts && run.end <= now)) over.push_back(task);
        }
        for (const std::string& task : over) EndRun(task, lapsed ? "lapsed" : "done");
      }
      SleepMs(2);
    }
  }

  WorkerOptions options_;
  Store& store_;
  Record& record_;
  int port_ = 0;
  int listener_ = -1;

  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = false;
  bool cut_ = false;
  bool listed_ = false;
  std::int64_t life_ = 1;
  SteadyTime booted_;
  std::int64_t born_ = 0;
  std::int64_t token_ = 0;
  std::int64_t deadline_ = 0;  // On the worker's clock.
  double last_lapse_ = -1;     // On the record's clock.
  std::int64_t next_end_ = 1;
  std::map<std::string, Running> runs_;
  std::deque<Ended> ended_;
  std::map<std::string, std::int64_t> closed_runs_;  // Highest run that was stopped or ended.
};

struct HostOptions {
  std::string name;
  std::string zone;
  std::string daemon;             // The program.
  std::string settings_template;  // Text of deploy/jobs.toml.template.
  std::string folder;             // For settings and logs.
  int store_port = 0;
};

// One entry host: a process of the project's own program. Not thread-safe.
class Host {
 public:
  Host(HostOptions options, Record& record) : options_(std::move(options)), record_(record) {
    for (int* port : {&caller_port_, &ready_port_, &metrics_port_, &peer_port_})
      close(ListenOnFreePort(*port));
    WriteSettings();
  }
  ~Host() { Kill(); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  int caller_port() const { return caller_port_; }
  const std::string& name() const { return options_.name; }
  std::string log_file() const { return options_.folder + "/" + options_.name + ".log"; }

  void Start() {
    const std::string settings = settings_file();
    const std::string log = log_file();
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(options_.daemon.c_str(), options_.daemon.c_str(), "--config", settings.c_str(),
            nullptr);
      _exit(127);
    }
    record_.Line("host_started " + options_.name);
  }

  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
    record_.Line("host_killed " + options_.name);
  }

  // How often the host's log has this text.
  int CountInLog(const std::string& text) const {
    std::ifstream file(log_file());
    int n = 0;
    for (std::string line; std::getline(file, line);) n += line.find(text) != std::string::npos;
    return n;
  }

  bool Ready() const { return Call(ready_port_, "GET", "/ready", "ready", "", 500).status == 200; }

 private:
  std::string settings_file() const { return options_.folder + "/" + options_.name + ".toml"; }

  void WriteSettings() {
    const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    const std::map<std::string, std::string> values = {
        {"{{node|json}}", '"' + options_.name + '"'},
        {"{{zone|json}}", '"' + options_.zone + '"'},
        {"{{limits.cpuShare}}", "0.25"},
        {"{{listen.front|json}}", at(caller_port_)},
        {"{{listen.ready|json}}", at(ready_port_)},
        {"{{platform.address|json}}", at(options_.store_port)},
        {"{{ip}}:9464", "127.0.0.1:" + std::to_string(metrics_port_)},
        {"{{ip}}:{{portRange.0}}", "127.0.0.1:" + std::to_string(peer_port_)},
        {"{{bounds.maxHoldMs}}", std::to_string(Worker::kMaxHoldMs)}};
    std::string text = options_.settings_template;
    for (const auto& [name, value] : values) {
      const std::size_t found = text.find(name);
      if (found == std::string::npos) throw std::runtime_error("template lacks " + name);
      text.replace(found, name.size(), value);
    }
    if (text.find("{{") != std::string::npos) throw std::runtime_error("template: " + text);
    std::ofstream(settings_file()) << text;
  }

  HostOptions options_;
  Record& record_;
  int caller_port_ = 0;
  int ready_port_ = 0;
  int metrics_port_ = 0;
  int peer_port_ = 0;
  pid_t pid_ = 0;
};

// Submits jobs and asks for their states, as PROTOCOL.md says. Thread-safe.
class Client {
 public:
  static constexpr char kHostName[] = "queue.example";
  static constexpr char kPrefix[] = "/work/";

  Client(std::vector<std::unique_ptr<Host>>& hosts, Record& record)
      : hosts_(hosts), record_(record) {}

  // Hands a job of one step in, at another host after each attempt without an answer. Returns
  // whether it was accepted.
  bool Submit(int tasks, int cpu, int task_ms, const json& more = json::object()) {
    std::string id;
    std::size_t first = 0;
    {
      const std::lock_guard lock(mutex_);
      char text[32];
      std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random_()));
      id = text;
      first = random_() % hosts_.size();
    }
    json step = {{"count", tasks}, {"cpu", cpu}, {"memMb", 16}, {"estimateMs", task_ms}};
    step.update(more);
    const json body = {{"spec", std::to_string(task_ms)}, {"steps", {step}}};
    for (std::size_t i = 0; i < 5; ++i) {
      const Host& host = *hosts_[(first + i) % hosts_.size()];
      const Response response =
          Call(host.caller_port(), "POST", kPrefix + id, kHostName, body.dump(), 3000);
      record_.Line("submit " + id + " at " + host.name() + ": " + std::to_string(response.status));
      if (response.status == 200) {
        const std::lock_guard lock(mutex_);
        accepted_.push_back(id);
        return true;
      }
    }
    return false;
  }

  std::size_t accepted() {
    const std::lock_guard lock(mutex_);
    return accepted_.size();
  }

  // Asks for all accepted jobs until they are completed, for `limit_s` at most. Returns how many
  // are not.
  std::size_t AwaitCompletion(double limit_s) {
    std::vector<std::string> open;
    {
      const std::lock_guard lock(mutex_);
      open = accepted_;
    }
    const double until = record_.Now() + limit_s;
    while (!open.empty() && record_.Now() < until) {
      std::erase_if(open, [&](const std::string& id) {
        const Response response =
            Call(hosts_.front()->caller_port(), "GET", kPrefix + id, kHostName, "", 1000);
        return response.status == 200 && response.body.find("completed") != std::string::npos;
      });
      if (!open.empty()) SleepMs(200);
    }
    for (const std::string& id : open) record_.Line("not_completed " + id);
    return open.size();
  }

 private:
  std::vector<std::unique_ptr<Host>>& hosts_;
  Record& record_;
  std::mutex mutex_;
  std::mt19937_64 random_{std::random_device{}()};
  std::vector<std::string> accepted_;
};

// Command line of a case: DAEMON TEMPLATE RECORD TROUBLE.
struct Arguments {
  std::string daemon;
  std::string settings_template;
  std::string record;
  bool trouble = true;
};

inline Arguments ParseArguments(int argc, char** argv) {
  if (argc != 5) throw std::runtime_error("usage: DAEMON TEMPLATE RECORD TROUBLE");
  std::ifstream file(argv[2]);
  std::stringstream text;
  text << file.rdbuf();
  if (text.str().empty()) throw std::runtime_error("cannot read the template");
  return {argv[1], text.str(), argv[3], std::string(argv[4]) != "0"};
}

// A small deployment, to be created with `new`: entry hosts, workers, the store and a client.
class Site {
 public:
  Site(const Arguments& arguments, int hosts, int workers, WorkerOptions worker = {})
      : record(arguments.record), client(this->hosts, record) {
    char name[] = "/tmp/review-XXXXXX";
    if (mkdtemp(name) == nullptr) throw std::runtime_error("no temporary folder");
    folder = name;
    store.Put("keyed.op", "config", Configuration().dump());
    store.Run();
    for (int i = 0; i < workers; ++i) {
      worker.id = "i-" + std::to_string(100 + i);
      worker.zone = i % 2 == 0 ? "zone-a" : "zone-b";
      worker.rack = "r" + std::to_string(i / 4);
      this->workers.push_back(std::make_unique<Worker>(worker, store, record));
      this->workers.back()->Run();
    }
    for (int i = 0; i < hosts; ++i) {
      this->hosts.push_back(std::make_unique<Host>(
          HostOptions{"front-" + std::to_string(i + 1), i % 2 == 0 ? "zone-a" : "zone-b",
                      arguments.daemon, arguments.settings_template, folder, store.port()},
          record));
    }
  }

  // Not destroyed: the threads of the stand-ins use it until the process ends.
  ~Site() = delete;

  // Starts all hosts and waits until they take requests.
  bool Begin() {
    for (auto& host : hosts) host->Start();
    for (int i = 0; i < 300; ++i) {
      if (std::all_of(hosts.begin(), hosts.end(), [](const auto& it) { return it->Ready(); }))
        return true;
      SleepMs(100);
    }
    return false;
  }

  // Judges, prints the result and returns the exit code.
  int Finish(double completion_s) {
    const std::size_t open = client.AwaitCompletion(completion_s);
    record.JudgeStartsAfterDone();
    Clear();
    std::printf("%zu jobs accepted, %zu not completed; %d starts; rules broken %d times\n",
                client.accepted(), open, record.starts(), record.breaks());
    if (record.breaks() > 0) return 1;
    return client.accepted() == 0 || open > 0 ? 2 : 0;
  }

  // As Finish, for jobs whose tasks last.
  int FinishLasting() {
    std::printf("%zu jobs accepted; %d starts; rules broken %d times\n", client.accepted(),
                record.starts(), record.breaks());
    Clear();
    return record.breaks() > 0 ? 1 : 0;
  }

  Store store;
  Record record;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Host>> hosts;
  Client client;
  std::string folder;

 private:
  // Ends the hosts and removes the folder.
  void Clear() {
    hosts.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder);
    } else {
      std::printf("logs kept in %s\n", folder.c_str());
    }
  }

  static json Configuration() {
    const json route = {{"name", "work"},
                        {"host", Client::kHostName},
                        {"pathPrefix", Client::kPrefix},
                        {"type", "non_idempotent"},
                        {"timeoutMs", 3000},
                        {"targetLatencyMs", 1000},
                        {"priority", 0},
                        {"service", "batch"},
                        {"attempts", 4},
                        {"stretch", 2.0}};
    const json service = {
        {"name", "batch"}, {"healthPath", "/healthz"}, {"maxConns", 64}, {"protocol", "h1"},
        {"tls", false},    {"admissionCheck", false},  {"spare", false}};
    return {
        {"version", 1}, {"routes", {route}}, {"services", {service}}, {"limits", json::object()}};
  }
};

// Runs a case. Exit code 2: the case could not run.
inline int Main(int argc, char** argv, const std::function<int(const Arguments&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  int code = 2;
  try {
    code = run(ParseArguments(argc, argv));
  } catch (const std::exception& error) {
    std::printf("could not run: %s\n", error.what());
  }
  std::fflush(stdout);
  // Threads of the stand-ins still run.
  std::_Exit(code);
}

}  // namespace review

#endif  // CACTUSSHELF_REVIEW_STANDINS_SITE_H_
