#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

// The platform's store: topics with partitions, as a log with the newest record of each key.
namespace review {

class Store {
 public:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;
  static constexpr Millis kAnswerTime{4};
  static constexpr Millis kAppendTime{2};
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kReadBytes = std::size_t{1} << 20;

  Store(EventLoop& loop, const Address& address)
      : loop_(loop),
        server_(loop, address,
                [this](const Request& request, const ConnectionPtr& to) { Handle(request, to); }) {}

  void Start() { server_.Start(); }
  const Address& address() const { return server_.address(); }

  // Called with the status and the size of the largest record of each append.
  std::function<void(int, std::size_t)> on_append;

  // Writes a record as the operator or a worker does. An empty value drops the key.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    Partition& partition = partitions_[{topic, 0}];
    AddRecord(partition, key, value);
    WakeReaders(partition);
  }

 private:
  using json = nlohmann::json;

  struct Record {
    std::string key;
    std::string value;
  };
  struct Producer {
    std::int64_t epoch = 0;
    std::int64_t next_seq = 0;
    std::deque<std::pair<std::int64_t, std::string>> last_answers;
  };
  struct Reader {
    ConnectionPtr to;
    std::size_t from = 0;
  };
  struct Partition {
    std::vector<Record> log;
    std::map<std::string, std::size_t> newest;
    std::map<std::string, Producer> producers;
    std::vector<std::shared_ptr<Reader>> readers;
    Time busy_until{};
  };

  static void AddRecord(Partition& partition, const std::string& key, const std::string& value) {
    if (value.empty()) {
      partition.newest.erase(key);
    } else {
      partition.newest[key] = partition.log.size();
    }
    partition.log.push_back({key, value});
  }

  void Handle(const Request& request, const ConnectionPtr& to) {
    Partition& partition = partitions_[{request.Query("topic"), std::stoi(request.Query("part"))}];
    if (request.path == "/log-append") {
      const Time begin = std::max(partition.busy_until, Clock::now());
      partition.busy_until = begin + kAppendTime;
      const auto wait = std::chrono::ceil<Millis>(partition.busy_until - Clock::now());
      loop_.After(wait, [this, &partition, request, to] {
        const auto [status, body] = Append(partition, request);
        loop_.After(kAnswerTime, [to, status = status, body = body] { to->Respond(status, body); });
      });
    } else if (request.path == "/log-read") {
      loop_.After(kAnswerTime, [this, &partition, request, to] { Read(partition, request, to); });
    } else if (request.path == "/log-newest") {
      loop_.After(kAnswerTime, [this, &partition, request, to] {
        to->Respond(200, Newest(partition, request));
      });
    } else {
      to->Respond(404, "{}");
    }
  }

  static std::uint64_t BigEndian(const std::string& bytes, std::size_t at, std::size_t size) {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < size; ++i) n = n << 8 | static_cast<unsigned char>(bytes[at + i]);
    return n;
  }

  static void AppendBigEndian(std::string& bytes, std::uint64_t n, std::size_t size) {
    for (std::size_t i = size; i > 0; --i) bytes += static_cast<char>(n >> (8 * (i - 1)));
  }

  std::pair<int, std::string> Append(Partition& partition, const Request& request) {
    std::vector<Record> records;
    std::size_t largest = 0;
    std::size_t total = 0;
    for (std::size_t at = 0; at + 5 <= request.body.size();) {
      const auto size = static_cast<std::size_t>(BigEndian(request.body, at, 4));
      const auto key_size = static_cast<std::size_t>(BigEndian(request.body, at + 4, 1));
      records.push_back({request.body.substr(at + 5, key_size),
                         request.body.substr(at + 5 + key_size, size - 1 - key_size)});
      largest = std::max(largest, size);
      total += size;
      at += 4 + size;
    }
    const auto done = [&](int status, const std::string& body) {
      if (on_append) on_append(status, largest);
      return std::pair(status, body);
    };
    if (largest > kRecordBytes || total > kCallBytes)
      return done(413, R"({"error":"record or call too large"})");
    const std::string name = request.Query("producer");
    std::int64_t seq = 0;
    if (!name.empty()) {
      Producer& producer = partition.producers[name];
      const std::int64_t epoch = std::stoll(request.Query("epoch"));
      seq = std::stoll(request.Query("seq"));
      if (epoch < producer.epoch) return done(409, R"({"reason":"fenced"})");
      if (epoch > producer.epoch) producer = {epoch, seq, {}};
      for (const auto& [number, answer] : producer.last_answers) {
        if (number == seq) return done(200, answer);
      }
      if (seq != producer.next_seq)
        return done(409, json{{"reason", "seq"}, {"seq", producer.next_seq}}.dump());
    }
    const std::size_t offset = partition.log.size();
    for (const Record& it : records) AddRecord(partition, it.key, it.value);
    const std::string answer = json{{"offset", offset}, {"end", partition.log.size()}}.dump();
    if (!name.empty()) {
      Producer& producer = partition.producers[name];
      producer.next_seq = seq + 1;
      producer.last_answers.emplace_back(seq, answer);
      if (producer.last_answers.size() > 5) producer.last_answers.pop_front();
    }
    WakeReaders(partition);
    return done(200, answer);
  }

  void Read(Partition& partition, const Request& request, const ConnectionPtr& to) {
    const auto reader = std::make_shared<Reader>(Reader{to, std::stoul(request.Query("from"))});
    const std::string wait = request.Query("waitMs");
    const Millis wait_time(wait.empty() ? 0 : std::stol(wait));
    if (reader->from < partition.log.size() || wait_time == Millis(0)) {
      AnswerReader(partition, *reader);
      return;
    }
    partition.readers.push_back(reader);
    loop_.After(wait_time, [this, &partition, reader] {
      if (std::erase(partition.readers, reader) > 0) AnswerReader(partition, *reader);
    });
  }

  void WakeReaders(Partition& partition) {
    for (const auto& it : std::exchange(partition.readers, {})) AnswerReader(partition, *it);
  }

  static void AnswerReader(const Partition& partition, const Reader& reader) {
    std::string bytes;
    AppendBigEndian(bytes, partition.log.size(), 8);
    AppendBigEndian(bytes, 0, 8);
    for (std::size_t i = reader.from; i < partition.log.size() && bytes.size() < kReadBytes; ++i) {
      const Record& record = partition.log[i];
      AppendBigEndian(bytes, 1 + record.key.size() + record.value.size(), 4);
      AppendBigEndian(bytes, record.key.size(), 1);
      bytes += record.key + record.value;
    }
    reader.to->Respond(200, bytes);
  }

  static std::string Base64(const std::string& bytes) {
    static constexpr char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
      const std::uint64_t word = BigEndian(bytes, i, n) << (8 * (3 - n));
      for (std::size_t k = 0; k < 4; ++k) text += k <= n ? kDigits[word >> (18 - 6 * k) & 63] : '=';
    }
    return text;
  }

  static std::string Newest(const Partition& partition, const Request& request) {
    json items = json::array();
    const std::string after = request.Query("dependsOn");
    auto it = after.empty() ? partition.newest.begin() : partition.newest.upper_bound(after);
    std::size_t bytes = 0;
    for (; it != partition.newest.end() && items.size() < kPageItems && bytes < kReadBytes; ++it) {
      const Record& record = partition.log[it->second];
      bytes += record.value.size();
      items.push_back(
          {{"key", record.key}, {"value", Base64(record.value)}, {"offset", it->second}});
    }
    return json{
        {"items", items}, {"hasMore", it != partition.newest.end()}, {"end", partition.log.size()}}
        .dump();
  }

  EventLoop& loop_;
  HttpServer server_;
  std::map<std::pair<std::string, int>, Partition> partitions_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_
