// Stand-ins for the users' platform, workers and clients, and the control of cactusshelfd
// processes, for the scripts of this review. One thread for each connection; plain sockets on
// loopback addresses.
#ifndef REVIEW_STANDINS_3_FLEET_H_
#define REVIEW_STANDINS_3_FLEET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace fleet {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count();
}
inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f  %s\n", NowMs() / 1000.0, text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline void Note(const std::string& text) { Record::Get().Line(text); }

// --- HTTP ---------------------------------------------------------------------------------------

struct Request {
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};
struct Response {
  int status = 200;
  std::string body;
  std::string type = "application/json";
  bool silent = false;  // No answer, and nothing more on this connection.
  bool reset = false;   // The connection is closed without an answer.
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// Reads one message from a socket; `buffer` keeps what follows it.
inline bool ReadMessage(int fd, std::string& buffer, std::string& head, std::string& body) {
  char chunk[65536];
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t length = 0;
  const std::size_t at = Lower(head).find("content-length:");
  if (at != std::string::npos) length = std::strtoul(head.c_str() + at + 15, nullptr, 10);
  while (buffer.size() < length) {
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline bool WriteAll(int fd, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t n = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) std::exit(2);
    listen(listener_, 512);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void ResetConnections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
    }
    ServeRequests(fd);
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  void ServeRequests(int fd) {
    std::string buffer, head, body;
    while (ReadMessage(fd, buffer, head, body)) {
      const Response response = handler_(Parse(head, std::move(body)));
      if (response.reset) break;
      if (response.silent) {
        char chunk[4096];
        while (recv(fd, chunk, sizeof chunk, 0) > 0) {
        }
        break;
      }
      std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                         " X\r\nContent-Type: " + response.type +
                         "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
      text += response.body;
      if (!WriteAll(fd, text)) break;
    }
  }

  static Request Parse(const std::string& head, std::string body) {
    Request request;
    request.body = std::move(body);
    const std::size_t line_end = head.find("\r\n");
    const std::string line = head.substr(0, line_end);
    const std::size_t a = line.find(' ');
    const std::size_t b = line.find(' ', a + 1);
    request.method = line.substr(0, a);
    std::string target = line.substr(a + 1, b - a - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      while (!rest.empty()) {
        const std::size_t amp = rest.find('&');
        const std::string pair = rest.substr(0, amp);
        const std::size_t eq = pair.find('=');
        request.query[pair.substr(0, eq)] =
            eq == std::string::npos ? "" : Unescape(pair.substr(eq + 1));
        rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
      }
    }
    std::size_t at = line_end + 2;
    while (at < head.size()) {
      const std::size_t end = head.find("\r\n", at);
      const std::string header = head.substr(at, end - at);
      const std::size_t colon = header.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < header.size() && header[value] == ' ') ++value;
        request.headers[Lower(header.substr(0, colon))] = header.substr(value);
      }
      if (end == std::string::npos) break;
      at = end + 2;
    }
    return request;
  }

  Handler handler_;
  std::mutex mutex_;
  std::set<int> open_;
  int listener_ = -1;
  int port_ = 0;
};

// One call on a connection of its own. Status 0: no complete answer within the time.
struct Answer {
  int status = 0;
  std::string body;
};
inline Answer Call(const std::string& address, const std::string& method, const std::string& path,
                   const std::string& host, const std::string& body, std::int64_t timeout_ms) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + address.find(':') + 1)));
  timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::string buffer, head, received;
    if (WriteAll(fd, text) && ReadMessage(fd, buffer, head, received)) {
      answer.status = std::atoi(head.c_str() + head.find(' ') + 1);
      answer.body = received;
    }
  }
  close(fd);
  return answer;
}

// --- Store --------------------------------------------------------------------------------------

inline std::uint64_t BigEndian(const std::string& bytes, std::size_t at, std::size_t n) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < n; ++i)
    value = (value << 8) | static_cast<unsigned char>(bytes[at + i]);
  return value;
}
inline std::string ToBigEndian(std::uint64_t value, std::size_t n) {
  std::string bytes;
  for (std::size_t i = n; i > 0; --i) bytes += static_cast<char>(value >> (8 * (i - 1)));
  return bytes;
}
inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t k = 0; k < 3; ++k)
      n = (n << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (int k = 3; k >= 0; --k) out += kDigits[(n >> (6 * k)) & 63];
    if (i + 2 >= bytes.size()) out.back() = '=';
    if (i + 1 >= bytes.size()) out[out.size() - 2] = '=';
  }
  return out;
}

// What becomes of a write.
struct Fate {
  bool lost = false;         // It is not answered.
  std::int64_t late_ms = 0;  // It is carried out so much later, if it is lost.
};
struct AppendCall {
  std::string topic;
  std::string producer;
  std::int64_t epoch = 0;
  std::int64_t seq = 0;
  std::vector<std::pair<std::string, std::string>> records;  // Keys and values.
};

// The log of PROTOCOL.md, as far as the system uses it.
class Store {
 public:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;
  static constexpr std::int64_t kAppendMs = 2;
  static constexpr std::int64_t kPartBytesPerMs = 20000;  // partMbPerS of the page is 20.
  static constexpr std::size_t kMaxReadBytes = 1024 * 1024;
  static constexpr std::size_t kPageItems = 500;

  Store() : server_([this](const Request& request) { return Handle(request); }) {}
  std::string address() const { return server_.address(); }

  // Decides on each write of the system.
  std::function<Fate(const AppendCall&)> on_append;
  // Called after a write of the system was carried out.
  std::function<void(const AppendCall&)> on_stored;

  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].log.emplace_back(key, value);
    changed_.notify_all();
  }
  // The host whose process appended last under a condition (an epoch).
  std::string LastConditionalWriter() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_writer_;
  }
  std::atomic<int> writes{0};
  std::atomic<int> lost_writes{0};
  std::atomic<int> refused_records{0};
  std::atomic<std::size_t> largest_record{0};

 private:
  struct Producer {
    std::int64_t epoch = -1;
    std::int64_t next = 0;
    bool any = false;
    std::map<std::int64_t, std::int64_t> answers;  // Offset by sequence number, the last five.
  };
  struct Topic {
    std::vector<std::pair<std::string, std::string>> log;
    std::map<std::string, Producer> producers;
  };

  Response Handle(const Request& request) {
    if (request.path == "/log-append") return Append(request);
    if (request.path == "/log-read") return Read(request);
    if (request.path == "/log-newest") return Newest(request);
    return {404, "{}"};
  }

  static std::string Get(const Request& request, const char* name) {
    const auto it = request.query.find(name);
    return it == request.query.end() ? "" : it->second;
  }

  Response Append(const Request& request) {
    AppendCall call;
    call.topic = Get(request, "topic");
    call.producer = Get(request, "producer");
    call.epoch = std::atoll(Get(request, "epoch").c_str());
    call.seq = std::atoll(Get(request, "seq").c_str());
    if (request.body.size() > kCallBytes) return {413, R"({"reason":"size"})"};
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
      const std::size_t size = BigEndian(request.body, at, 4);
      if (size > largest_record) largest_record = size;
      if (size > kRecordBytes) {
        ++refused_records;
        return {413, R"({"reason":"size"})"};
      }
      const std::size_t key = BigEndian(request.body, at + 4, 1);
      call.records.emplace_back(request.body.substr(at + 5, key),
                                request.body.substr(at + 5 + key, size - 1 - key));
      at += 4 + size;
    }
    ++writes;
    const Fate fate = on_append ? on_append(call) : Fate{};
    SleepMs(kAppendMs + static_cast<std::int64_t>(request.body.size()) / kPartBytesPerMs);
    if (!fate.lost) return Apply(call);
    ++lost_writes;
    if (fate.late_ms == 0) {
      Apply(call);
    } else {
      std::thread([this, call, fate] {
        SleepMs(fate.late_ms);
        const Response response = Apply(call);
        Note("store: late write carried out: status " + std::to_string(response.status) + " " +
             response.body);
      }).detach();
    }
    Response silent;
    silent.silent = true;
    return silent;
  }

  Response Apply(const AppendCall& call) {
    std::int64_t offset = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      Topic& topic = topics_[call.topic];
      offset = static_cast<std::int64_t>(topic.log.size());
      if (!call.producer.empty()) {
        Producer& producer = topic.producers[call.producer];
        if (call.epoch < producer.epoch) return {409, R"({"reason":"fenced"})"};
        if (call.epoch > producer.epoch) {
          producer = {};
          producer.epoch = call.epoch;
        }
        const auto repeat = producer.answers.find(call.seq);
        if (repeat != producer.answers.end())
          return {200, json{{"offset", repeat->second}, {"end", offset}}.dump()};
        if (producer.any && call.seq != producer.next)
          return {409, json{{"reason", "seq"}, {"seq", producer.next}}.dump()};
        producer.any = true;
        producer.next = call.seq + 1;
        producer.answers[call.seq] = offset;
        if (producer.answers.size() > 5) producer.answers.erase(producer.answers.begin());
        if (call.producer == "owner") {
          for (const auto& [key, value] : call.records)
            if (key.rfind("o/", 0) == 0) last_writer_ = key.substr(2);
        }
      }
      for (const auto& record : call.records) topic.log.push_back(record);
      changed_.notify_all();
    }
    if (on_stored) on_stored(call);
    return {200, json{{"offset", offset},
                      {"end", offset + static_cast<std::int64_t>(call.records.size())}}
                     .dump()};
  }

  Response Read(const Request& request) {
    const auto from = static_cast<std::size_t>(std::atoll(Get(request, "from").c_str()));
    const std::int64_t wait = std::atoll(Get(request, "waitMs").c_str());
    SleepMs(1);
    std::unique_lock<std::mutex> lock(mutex_);
    Topic& topic = topics_[Get(request, "topic")];
    changed_.wait_for(lock, milliseconds(wait), [&] { return topic.log.size() > from; });
    std::string body = ToBigEndian(topic.log.size(), 8) + ToBigEndian(0, 8);
    for (std::size_t i = from; i < topic.log.size() && body.size() < kMaxReadBytes; ++i) {
      const auto& [key, value] = topic.log[i];
      body += ToBigEndian(1 + key.size() + value.size(), 4) + ToBigEndian(key.size(), 1) + key;
      body += value;
    }
    return {200, body, "application/octet-stream"};
  }

  Response Newest(const Request& request) {
    const std::string after = Get(request, "dependsOn");
    SleepMs(1);
    const std::lock_guard<std::mutex> lock(mutex_);
    const Topic& topic = topics_[Get(request, "topic")];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < topic.log.size(); ++i) newest[topic.log[i].first] = i;
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (const auto& [key, i] : newest) {
      if (key <= after && !after.empty()) continue;
      if (topic.log[i].second.empty()) continue;
      if (items.size() >= kPageItems || bytes >= kMaxReadBytes) {
        more = true;
        break;
      }
      bytes += topic.log[i].second.size();
      items.push_back({{"key", key}, {"value", Base64(topic.log[i].second)}, {"offset", i}});
    }
    return {200, json{{"items", items}, {"hasMore", more}, {"end", topic.log.size()}}.dump()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::string last_writer_;
  HttpServer server_;
};

// --- Worker -------------------------------------------------------------------------------------

// The gangs at work. The members of one run of a gang work only while all of them are present.
class Gangs {
 public:
  static constexpr std::int64_t kCheckpointMs = 1000;

  // Registers the gang `step` (ID.K.STEP) of `count` tasks.
  void Add(const std::string& step, int count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    counts_[step] = count;
  }
  bool Has(const std::string& task) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_.contains(StepOf(task));
  }
  void Join(const std::string& task, std::int64_t run, const std::string& checkpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Run& it = runs_[{StepOf(task), run}];
    it.members[task] = checkpoint;
    if (static_cast<int>(it.members.size()) < counts_[StepOf(task)]) return;
    it.began_at = NowMs();
    // The value of any member is valid for the gang.
    it.resumed_ms = std::atoll(it.members.begin()->second.c_str()) * kCheckpointMs;
    for (const auto& [name, value] : it.members)
      if (value != it.members.begin()->second) it.mixed = true;
    if (it.mixed) {
      mixed = true;
      std::string text = "UNASKED: the members of " + StepOf(task) + " run " + std::to_string(run) +
                         " carry different checkpoints:";
      for (const auto& [name, value] : it.members) text += " " + name + "=\"" + value + "\"";
      Note(text);
    }
  }
  // A member has ended, but not as done: the others are broken.
  void Break(const std::string& task, std::int64_t run) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[{StepOf(task), run}].broken = true;
  }
  struct State {
    bool broken = false;
    bool at_work = false;
    std::int64_t worked_ms = 0;
    std::string checkpoint;
  };
  State Get(const std::string& task, std::int64_t run) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Run& it = runs_[{StepOf(task), run}];
    State state;
    state.broken = it.broken;
    state.at_work = it.began_at >= 0;
    if (state.at_work) state.worked_ms = it.resumed_ms + NowMs() - it.began_at;
    const std::int64_t n = state.worked_ms / kCheckpointMs;
    if (n > 0) state.checkpoint = std::to_string(n);
    return state;
  }
  std::atomic<bool> mixed{false};  // Members of one run were started with different checkpoints.

 private:
  struct Run {
    std::map<std::string, std::string> members;  // Checkpoints by task.
    std::int64_t began_at = -1;
    std::int64_t resumed_ms = 0;
    bool broken = false;
    bool mixed = false;
  };
  static std::string StepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

  std::mutex mutex_;
  std::map<std::string, int> counts_;
  std::map<std::pair<std::string, std::int64_t>, Run> runs_;
};

// A minion. The payload of a job is "MS", the time that each of its tasks works.
class Worker {
 public:
  static constexpr std::int64_t kMaxHoldMs = 10000;
  static constexpr std::int64_t kGangTimeoutMs = 3000;

  Worker(std::string id, Store& store, int cpu, const std::string& rack)
      : id_(std::move(id)),
        store_(store),
        cpu_(cpu),
        rack_(rack),
        born_(std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        began_(NowMs()),
        server_([this](const Request& request) { return Handle(request); }) {
    Register("ready");
    std::thread([this] { Tick(); }).detach();
  }
  const std::string& id() const { return id_; }
  void Register(const std::string& state) {
    store_.Put("keyed.servers", id_,
               json{{"id", id_},
                    {"service", "avisos"},
                    {"address", server_.address()},
                    {"zone", "norte"},
                    {"version", "1"},
                    {"slots", 8},
                    {"state", state},
                    {"coldLeftMs", 0},
                    {"seq", 1},
                    {"born", born_},
                    {"labels", {kind_, rack_}},
                    {"machine", "m-" + id_},
                    {"capacity", {{"cpu", cpu_}, {"memMb", 64000}, {"gpu", 0}}}}
                   .dump());
  }
  // The process of the worker is gone: nothing runs, nothing is answered, connections are reset.
  void Crash() {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = true;
    ++life_;
    for (const auto& [task, run] : running_)
      if (run.gang) gangs->Break(task, run.run);
    running_.clear();
    ends_.clear();
    highest_ended_.clear();
    last_end_ = 0;
    token_ = 0;
    lease_ = 0;
    changed_.notify_all();
    server_.ResetConnections();
    Note("worker " + id_ + " crashes");
  }
  // A new life under the same id and address, of a kind with the capacity `cpu`.
  void Return(int cpu, const std::string& kind) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      cpu_ = cpu;
      kind_ = kind;
      born_ = std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
      began_ = NowMs();
      down_ = false;
    }
    Note("worker " + id_ + " is back, kind " + kind + ", capacity " + std::to_string(cpu));
  }
  int cpu() const { return cpu_; }
  std::size_t running() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_.size();
  }
  std::size_t unacknowledged_ends() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ends_.size();
  }
  // Called for each start and each end: task, run, "start" or how it ended.
  std::function<void(const Worker&, const std::string&, std::int64_t, const std::string&)> on_event;
  Gangs* gangs = nullptr;
  std::int64_t task_cpu = 0;  // Of each task, if all need the same; the limit is checked then.
  std::atomic<bool> over_limit{false};
  std::atomic<bool> fails{false};  // All runs end failed at once.

 private:
  struct Run {
    std::int64_t run = 0;
    std::int64_t begun = 0;
    std::int64_t work_ms = 0;
    std::int64_t stop_at = -1;
    bool gang = false;
  };
  struct End {
    std::int64_t n;
    std::string task;
    std::int64_t run;
    std::string how;
    std::string saved;
  };

  std::int64_t ClockMs() const { return NowMs() - began_ + 1000; }

  void Finish(const std::string& task, const Run& run, const std::string& how) {
    const std::string saved = run.gang ? gangs->Get(task, run.run).checkpoint : "";
    if (run.gang && how != "done") gangs->Break(task, run.run);
    ends_.push_back({++last_end_, task, run.run, how, saved});
    highest_ended_[task] = std::max(highest_ended_[task], run.run);
    if (on_event) on_event(*this, task, run.run, how);
    changed_.notify_all();
  }

  void Tick() {
    for (;;) {
      SleepMs(2);
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::int64_t now = NowMs();
      for (auto it = running_.begin(); it != running_.end();) {
        const Run& run = it->second;
        std::string how;
        if (ClockMs() >= lease_) {
          how = "lapsed";
        } else if (run.stop_at >= 0 && now >= run.stop_at) {
          how = "stopped";
        } else if (fails) {
          how = "failed";
        } else if (run.gang) {
          const Gangs::State state = gangs->Get(it->first, run.run);
          if (state.broken) {
            how = "broken";
          } else if (!state.at_work && now - run.begun >= kGangTimeoutMs) {
            how = "alone";
          } else if (state.worked_ms >= run.work_ms) {
            how = "done";
          }
        } else if (run.work_ms >= 0 && now - run.begun >= run.work_ms) {
          how = "done";
        }
        if (how.empty()) {
          ++it;
          continue;
        }
        const std::string task = it->first;
        const Run ended = it->second;
        it = running_.erase(it);
        Finish(task, ended, how);
      }
    }
  }

  Response Refuse(const char* reason) {
    return {409, json{{"clockMs", ClockMs()}, {"reason", reason}, {"born", born_}}.dump()};
  }

  void Extend(const json& body) {
    if (!body.contains("deadlineMs")) return;
    const auto until = std::min(body["deadlineMs"].get<std::int64_t>(), ClockMs() + kMaxHoldMs);
    lease_ = std::max(lease_, until);
  }

  Response Handle(const Request& request) {
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != id_) return {421, "{}"};
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) return {400, "{}"};
    std::unique_lock<std::mutex> lock(mutex_);
    if (down_) return Reset();
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < token_) return Refuse("fence");
    token_ = token;
    if (request.path == "/run-start") return Start(body);
    if (request.path == "/run-stop") {
      const std::string task = body["task"];
      const std::int64_t run = body["run"];
      highest_ended_[task] = std::max(highest_ended_[task], run);
      const auto it = running_.find(task);
      if (it != running_.end() && it->second.run <= run) it->second.stop_at = NowMs() + 20;
      return {200, json{{"clockMs", ClockMs()}, {"born", born_}}.dump()};
    }
    if (request.path == "/pace") return {200, json{{"clockMs", ClockMs()}, {"born", born_}}.dump()};
    if (request.path == "/hold") {
      const std::int64_t acknowledged = body.value("ackCursor", std::int64_t{0});
      std::erase_if(ends_, [&](const End& it) { return it.n <= acknowledged; });
      Extend(body);
      const std::int64_t wait = std::min<std::int64_t>(body.value("waitMs", 0), 2000);
      if (wait > 0)
        changed_.wait_for(lock, milliseconds(wait),
                          [&, life = life_] { return !ends_.empty() || life != life_; });
      if (down_) return Reset();
      return Report();
    }
    return {404, "{}"};
  }

  static Response Reset() {
    Response response;
    response.reset = true;
    return response;
  }

  Response Start(const json& body) {
    const std::string task = body["task"];
    const std::int64_t run = body["run"];
    const std::int64_t until = body["deadlineMs"];
    if (until <= ClockMs()) return Refuse("late");
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.run == run) {
      Extend(body);
      return {200, json{{"clockMs", ClockMs()}, {"born", born_}}.dump()};
    }
    Extend(body);
    const auto ended = highest_ended_.find(task);
    const bool old = (ended != highest_ended_.end() && run <= ended->second) ||
                     (it != running_.end() && run < it->second.run);
    if (old) return Refuse("old");
    Run started;
    started.run = run;
    started.begun = NowMs();
    started.work_ms = std::atoll(body.value("spec", std::string()).c_str());
    started.gang = gangs != nullptr && gangs->Has(task);
    running_[task] = started;
    if (started.gang) gangs->Join(task, run, body.value("checkpoint", std::string()));
    if (on_event) on_event(*this, task, run, "start");
    const auto used = static_cast<std::int64_t>(running_.size()) * task_cpu;
    if (task_cpu > 0 && used > cpu_) {
      over_limit = true;
      Note("LIMIT: " + std::to_string(used) + " of " + std::to_string(cpu_) + " in use on " + id_ +
           ", " + std::to_string(NowMs() - began_) + " ms after its start");
    }
    return {200, json{{"clockMs", ClockMs()}, {"born", born_}}.dump()};
  }

  Response Report() {
    json running = json::array();
    for (const auto& [task, run] : running_) {
      const std::int64_t percent =
          run.work_ms <= 0 ? 100
                           : std::min<std::int64_t>(99, (NowMs() - run.begun) * 100 / run.work_ms);
      if (run.gang) {
        const Gangs::State state = gangs->Get(task, run.run);
        running.push_back({task, run.run, state.checkpoint,
                           std::min<std::int64_t>(99, state.worked_ms * 100 / run.work_ms), 100});
        continue;
      }
      running.push_back({task, run.run, "", percent, 100});
    }
    json ended = json::array();
    for (const End& it : ends_) {
      if (ended.size() >= 500) break;
      ended.push_back({it.n, it.task, it.run, it.how, it.saved});
    }
    return {200,
            json{{"clockMs", ClockMs()}, {"born", born_}, {"running", running}, {"finished", ended}}
                .dump()};
  }

  std::string id_;
  Store& store_;
  int cpu_;
  std::string rack_;
  std::string kind_ = "a";
  bool down_ = false;
  int life_ = 0;
  std::int64_t born_;
  std::int64_t began_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Run> running_;
  std::map<std::string, std::int64_t> highest_ended_;
  std::vector<End> ends_;
  std::int64_t last_end_ = 0;
  std::int64_t token_ = 0;
  std::int64_t lease_ = 0;
  HttpServer server_;
};

// --- Hosts --------------------------------------------------------------------------------------

// A free port below those that the system gives to outgoing connections.
inline int FreePort() {
  static std::set<int> used;
  static unsigned seed = static_cast<unsigned>(getpid()) * 2654435761U;
  for (;;) {
    const int port = 20000 + rand_r(&seed) % 12000;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (is_free && used.insert(port).second) return port;
  }
}

// One entry host: a process of cactusshelfd with the settings of deploy/jobs.toml.template.
class Host {
 public:
  Host(std::string name, std::string binary, std::string folder, const std::string& store)
      : name_(std::move(name)), binary_(std::move(binary)), folder_(std::move(folder)) {
    front_ = "127.0.0.1:" + std::to_string(FreePort());
    ready_ = "127.0.0.1:" + std::to_string(FreePort());
    const std::string metrics = "127.0.0.1:" + std::to_string(FreePort());
    const std::string peers = "127.0.0.1:" + std::to_string(FreePort());
    std::ofstream file(folder_ + "/" + name_ + ".toml");
    file << "service = \"jobs\"\nhost_name = \"" << name_ << "\"\ndomain = \"norte\"\n"
         << "processors = 0.25\n\n[listen]\ncallers = \"" << front_ << "\"\nreadiness = \""
         << ready_ << "\"\nmetrics = \"" << metrics << "\"\npeers = \"" << peers
         << "\"\n\n[store]\naddress = \"" << store
         << "\"\n\n[workers]\nlongest_lease = \"10000ms\"\n";
  }
  const std::string& name() const { return name_; }
  const std::string& front() const { return front_; }
  pid_t pid() const { return pid_; }

  void Start() {
    const std::string config = folder_ + "/" + name_ + ".toml";
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl(binary_.c_str(), binary_.c_str(), "--config", config.c_str(), nullptr);
      _exit(127);
    }
    Note("start " + name_ + " pid " + std::to_string(pid_));
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    Note("kill " + name_);
    pid_ = -1;
  }
  // True if the process has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    Note(name_ + " ended, status " + std::to_string(status));
    pid_ = -1;
    return true;
  }
  bool Ready() const { return Call(ready_, "GET", "/ready", "x", "", 500).status == 200; }

 private:
  std::string name_, binary_, folder_, front_, ready_;
  pid_t pid_ = -1;
};

constexpr char kHostHeader[] = "avisos.example";
constexpr char kPrefix[] = "/q/";

inline void PutConfiguration(Store& store, int attempts) {
  const json route = {{"name", "street"},      {"host", kHostHeader},      {"pathPrefix", kPrefix},
                      {"service", "avisos"},   {"type", "non_idempotent"}, {"timeoutMs", 3000},
                      {"priority", 0},         {"attempts", attempts},     {"stretch", 1.5},
                      {"targetLatencyMs", 300}};
  store.Put("keyed.op", "config",
            json{{"version", 1},
                 {"routes", json::array({route})},
                 {"services", json::array({{{"name", "avisos"}, {"admissionCheck", false}}})},
                 {"limits", json::object()}}
                .dump());
}

inline bool WaitUntil(std::int64_t ms, const std::function<bool()>& condition) {
  const std::int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    if (condition()) return true;
    SleepMs(10);
  }
  return condition();
}

inline Answer Ask(const Host& host, const std::string& method, const std::string& job,
                  const std::string& body = "", std::int64_t timeout_ms = 3000) {
  const Answer answer = Call(host.front(), method, kPrefix + job, kHostHeader, body, timeout_ms);
  Note(method + " " + job + " at " + host.name() + " -> " + std::to_string(answer.status) + " " +
       answer.body.substr(0, 120));
  return answer;
}

}  // namespace fleet

#endif  // REVIEW_STANDINS_3_FLEET_H_
