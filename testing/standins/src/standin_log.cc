#include <glib.h>

#include <algorithm>
#include <list>
#include <map>
#include <string>

#include "cactusshelf/base/errors.h"
#include "control_handler.h"
#include "log_store.h"
#include "standin_server.h"
#include "timer.h"

namespace cactusshelf {
namespace {

constexpr std::size_t kMaxRecordsPerRead = 1000;
constexpr Duration kOneSecond = std::chrono::seconds(1);
constexpr unsigned kTooManyRequests = 429;
constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";

std::string Base64(const std::string& data) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(data.data()), data.size());
  std::string result = text;
  g_free(text);
  return result;
}

std::string StreamOf(const std::string& path) {
  if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix) ||
      path.size() <= kPrefix.size() + kSuffix.size()) {
    throw Error("unknown path " + path);
  }
  return path.substr(kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size());
}

// Append-only log service. Appends take effect when they arrive, whatever happens to the answer.
class LogStandin {
 public:
  LogStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : retention_count_(arguments["retention-count"].as<std::size_t>()),
        retention_age_(std::chrono::milliseconds(arguments["retention-age-ms"].as<std::int64_t>())),
        max_appends_per_second_(arguments["max-appends-per-second"].as<std::uint64_t>()) {
    AddControls();
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
    RunEvery(std::chrono::milliseconds(100), [this] { ApplyRetention(); });
  }

 private:
  struct Waiter {
    std::string stream;
    std::uint64_t from;
    ExchangePtr exchange;
  };

  void AddControls() {
    control_.Add("drop_answers", drop_answers_);
    control_.AddMilliseconds("delay_ms", delay_);
    control_.Add("hang", hang_);
    control_.Add("retention_count", retention_count_);
    control_.AddMilliseconds("retention_age_ms", retention_age_);
    control_.AddAction("outage", [this](const nlohmann::json& value) {
      outage_ = value.get<bool>();
      EndWaits();
    });
    control_.AddAction("trim_to", [this](const nlohmann::json& value) {
      for (auto& [name, stream] : streams_) {
        stream.TrimTo(value.get<std::uint64_t>());
      }
    });
  }

  void Handle(const ExchangePtr& exchange) {
    if (control_.Handle(exchange)) {
      return;
    }
    if (exchange->Path() == "/control") {
      exchange->Answer(SOUP_STATUS_OK, Statistics());
      return;
    }
    if (hang_) {
      hung_.push_back(exchange);
      return;
    }
    if (outage_) {
      ++refused_;
      exchange->Answer(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "outage"}});
      return;
    }
    const std::string stream = StreamOf(exchange->Path());
    if (exchange->Method() == "POST") {
      Append(stream, exchange);
    } else {
      Read(stream, exchange);
    }
  }

  void Append(const std::string& stream, const ExchangePtr& exchange) {
    if (!TakeAppend()) {
      ++limited_;
      exchange->Answer(kTooManyRequests, {{"error", "too many appends"}});
      return;
    }
    ++appends_;
    const std::uint64_t offset = streams_[stream].Append(exchange->Body(), WallNow());
    ApplyRetention();
    WakeWaiters(stream);
    if (drop_answers_ > 0) {
      --drop_answers_;
      exchange->Close();
      return;
    }
    RunAfter(delay_, [exchange, offset] {
      exchange->Answer(SOUP_STATUS_OK, {{"offset", offset}});
    });
  }

  bool TakeAppend() {
    const Time now = MonotonicNow();
    if (now - second_start_ >= kOneSecond) {
      second_start_ = now;
      appends_in_second_ = 0;
    }
    return ++appends_in_second_ <= max_appends_per_second_;
  }

  void Read(const std::string& stream, const ExchangePtr& exchange) {
    ++reads_;
    const auto from = static_cast<std::uint64_t>(exchange->QueryNumber("from", 0));
    const Duration wait = std::chrono::milliseconds(exchange->QueryNumber("wait_ms", 0));
    const std::uint64_t end = streams_[stream].end();
    if (from > end) {
      throw Error("offset " + std::to_string(from) + " is past the end " + std::to_string(end));
    }
    if (from < end || wait <= Duration::zero()) {
      AnswerRead(stream, from, exchange);
      return;
    }
    waiters_.push_back({stream, from, exchange});
    RunAfter(wait, [this, exchange] { EndWait(exchange); });
  }

  void AnswerRead(const std::string& stream, std::uint64_t from, const ExchangePtr& exchange) {
    RunAfter(delay_, [this, stream, from, exchange] {
      exchange->Answer(SOUP_STATUS_OK, ReadAnswer(streams_[stream], from));
    });
  }

  // "next" is the end of the log; a reader has read to the end once it has the record before it.
  static nlohmann::json ReadAnswer(const LogStore& store, std::uint64_t from) {
    nlohmann::json records = nlohmann::json::array();
    for (const LogStore::Record& record : store.Read(from, kMaxRecordsPerRead)) {
      records.push_back({{"offset", record.offset},
                         {"time_ms", record.time.time_since_epoch().count()},
                         {"data", Base64(record.data)}});
    }
    return {{"first", store.first()}, {"next", store.end()}, {"records", records}};
  }

  void WakeWaiters(const std::string& stream) {
    std::list<Waiter> waiting;
    waiting.swap(waiters_);
    for (const Waiter& waiter : waiting) {
      if (waiter.stream == stream) {
        AnswerRead(stream, waiter.from, waiter.exchange);
      } else {
        waiters_.push_back(waiter);
      }
    }
  }

  void EndWait(const ExchangePtr& exchange) {
    const auto it = std::find_if(waiters_.begin(), waiters_.end(),
                                 [&](const Waiter& waiter) { return waiter.exchange == exchange; });
    if (it == waiters_.end()) {
      return;
    }
    const Waiter waiter = *it;
    waiters_.erase(it);
    AnswerRead(waiter.stream, waiter.from, exchange);
  }

  // An outage also ends the reads that are waiting.
  void EndWaits() {
    if (!outage_) {
      return;
    }
    for (const Waiter& waiter : waiters_) {
      waiter.exchange->Answer(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "outage"}});
    }
    waiters_.clear();
  }

  void ApplyRetention() {
    for (auto& [name, stream] : streams_) {
      stream.Retain(retention_count_, retention_age_, WallNow());
    }
  }

  nlohmann::json Statistics() const {
    nlohmann::json streams = nlohmann::json::object();
    for (const auto& [name, stream] : streams_) {
      streams[name] = {{"first", stream.first()}, {"end", stream.end()}};
    }
    return {{"appends", appends_}, {"reads", reads_},   {"refused", refused_},
            {"limited", limited_}, {"outage", outage_}, {"streams", streams}};
  }

  Control control_;
  std::size_t retention_count_;
  Duration retention_age_;
  std::uint64_t max_appends_per_second_;
  std::uint64_t appends_in_second_ = 0;
  Time second_start_;
  bool outage_ = false;
  bool hang_ = false;
  Duration delay_ = Duration::zero();
  std::uint64_t drop_answers_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t limited_ = 0;
  std::map<std::string, LogStore> streams_;
  std::list<Waiter> waiters_;
  // Requests that are never answered.
  std::list<ExchangePtr> hung_;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_log", "Stand-in for the platform's log service");
  options.add_options()("retention-count", "records retained for each stream",
                        cxxopts::value<std::size_t>()->default_value("100000"))(
      "retention-age-ms", "age limit of records; 0 for none",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "max-appends-per-second", "appends beyond this are refused with 429",
      cxxopts::value<std::uint64_t>()->default_value("300"));
  return cactusshelf::RunStandin<cactusshelf::LogStandin>(argc, argv, options);
}
