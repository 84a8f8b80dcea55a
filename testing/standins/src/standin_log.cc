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
constexpr Duration kRateWindow = std::chrono::seconds(1);
constexpr unsigned kTooManyRequests = 429;
constexpr std::string_view kStreamPathPrefix = "/v1/streams/";
constexpr std::string_view kStreamPathSuffix = "/records";

std::string Base64(const std::string& data) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(data.data()), data.size());
  std::string result = text;
  g_free(text);
  return result;
}

std::string StreamNameOf(const std::string& path) {
  if (!path.starts_with(kStreamPathPrefix) || !path.ends_with(kStreamPathSuffix) ||
      path.size() <= kStreamPathPrefix.size() + kStreamPathSuffix.size()) {
    throw Error("unknown path " + path);
  }
  return path.substr(kStreamPathPrefix.size(),
                     path.size() - kStreamPathPrefix.size() - kStreamPathSuffix.size());
}

// Append-only log service. An append takes effect on arrival, even if its response is delayed or
// dropped.
class LogStandin {
 public:
  LogStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : retention_count_(arguments["retention-count"].as<std::size_t>()),
        retention_age_(std::chrono::milliseconds(arguments["retention-age-ms"].as<std::int64_t>())),
        max_appends_per_second_(arguments["max-appends-per-second"].as<std::uint64_t>()) {
    RegisterSettings();
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
    RunEvery(std::chrono::milliseconds(100), [this] { ApplyRetention(); });
  }

 private:
  struct PendingRead {
    std::string stream;
    std::uint64_t from;
    ExchangePtr exchange;
  };

  void RegisterSettings() {
    control_handler_.AddSetting("drop_answers", drop_answers_);
    control_handler_.AddDurationSetting("delay_ms", response_delay_);
    control_handler_.AddSetting("hang", hang_);
    control_handler_.AddSetting("retention_count", retention_count_);
    control_handler_.AddDurationSetting("retention_age_ms", retention_age_);
    control_handler_.AddSetter("outage", [this](const nlohmann::json& value) {
      outage_ = value.get<bool>();
      RefusePendingReads();
    });
    control_handler_.AddSetter("trim_to", [this](const nlohmann::json& value) {
      for (auto& [name, stream] : streams_) {
        stream.TrimTo(value.get<std::uint64_t>());
      }
    });
  }

  void Handle(const ExchangePtr& exchange) {
    if (control_handler_.Handle(exchange)) {
      return;
    }
    if (exchange->Path() == "/control") {
      exchange->Respond(SOUP_STATUS_OK, Statistics());
      return;
    }
    if (hang_) {
      unanswered_exchanges_.push_back(exchange);
      return;
    }
    if (outage_) {
      ++refused_requests_;
      exchange->Respond(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "outage"}});
      return;
    }
    const std::string stream = StreamNameOf(exchange->Path());
    if (exchange->Method() == "POST") {
      Append(stream, exchange);
    } else {
      Read(stream, exchange);
    }
  }

  void Append(const std::string& stream, const ExchangePtr& exchange) {
    if (!AdmitAppend()) {
      ++rate_limited_appends_;
      exchange->Respond(kTooManyRequests, {{"error", "too many appends"}});
      return;
    }
    ++appends_;
    const std::uint64_t offset = streams_[stream].Append(exchange->Body(), WallNow());
    ApplyRetention();
    CompletePendingReads(stream);
    if (drop_answers_ > 0) {
      --drop_answers_;
      exchange->Close();
      return;
    }
    RunAfter(response_delay_, [exchange, offset] {
      exchange->Respond(SOUP_STATUS_OK, {{"offset", offset}});
    });
  }

  bool AdmitAppend() {
    const Time now = MonotonicNow();
    if (now - rate_window_start_ >= kRateWindow) {
      rate_window_start_ = now;
      appends_in_rate_window_ = 0;
    }
    return ++appends_in_rate_window_ <= max_appends_per_second_;
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
      RespondToRead(stream, from, exchange);
      return;
    }
    pending_reads_.push_back({stream, from, exchange});
    RunAfter(wait, [this, exchange] { TimeOutPendingRead(exchange); });
  }

  void RespondToRead(const std::string& stream, std::uint64_t from, const ExchangePtr& exchange) {
    RunAfter(response_delay_, [this, stream, from, exchange] {
      exchange->Respond(SOUP_STATUS_OK, EncodeReadResponse(streams_[stream], from));
    });
  }

  // "next" is the end offset of the log, also if the response holds only some of the records. A
  // reader has reached the end once it has the record at offset "next" - 1.
  static nlohmann::json EncodeReadResponse(const LogStore& store, std::uint64_t from) {
    nlohmann::json records = nlohmann::json::array();
    for (const LogStore::Record& record : store.Read(from, kMaxRecordsPerRead)) {
      records.push_back({{"offset", record.offset},
                         {"time_ms", record.time.time_since_epoch().count()},
                         {"data", Base64(record.data)}});
    }
    return {{"first", store.first()}, {"next", store.end()}, {"records", records}};
  }

  void CompletePendingReads(const std::string& stream) {
    std::list<PendingRead> pending_reads;
    pending_reads.swap(pending_reads_);
    for (const PendingRead& pending : pending_reads) {
      if (pending.stream == stream) {
        RespondToRead(stream, pending.from, pending.exchange);
      } else {
        pending_reads_.push_back(pending);
      }
    }
  }

  void TimeOutPendingRead(const ExchangePtr& exchange) {
    const auto it =
        std::find_if(pending_reads_.begin(), pending_reads_.end(),
                     [&](const PendingRead& pending) { return pending.exchange == exchange; });
    if (it == pending_reads_.end()) {
      return;
    }
    const PendingRead pending = *it;
    pending_reads_.erase(it);
    RespondToRead(pending.stream, pending.from, exchange);
  }

  // Refuses all pending reads when an outage begins.
  void RefusePendingReads() {
    if (!outage_) {
      return;
    }
    for (const PendingRead& pending : pending_reads_) {
      pending.exchange->Respond(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "outage"}});
    }
    pending_reads_.clear();
  }

  void ApplyRetention() {
    for (auto& [name, stream] : streams_) {
      stream.ApplyRetention(retention_count_, retention_age_, WallNow());
    }
  }

  nlohmann::json Statistics() const {
    nlohmann::json streams = nlohmann::json::object();
    for (const auto& [name, stream] : streams_) {
      streams[name] = {{"first", stream.first()}, {"end", stream.end()}};
    }
    return {{"appends", appends_},
            {"reads", reads_},
            {"refused", refused_requests_},
            {"limited", rate_limited_appends_},
            {"outage", outage_},
            {"streams", streams}};
  }

  ControlHandler control_handler_;
  std::size_t retention_count_;
  Duration retention_age_;
  std::uint64_t max_appends_per_second_;
  std::uint64_t appends_in_rate_window_ = 0;
  Time rate_window_start_;
  bool outage_ = false;
  bool hang_ = false;
  Duration response_delay_ = Duration::zero();
  std::uint64_t drop_answers_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t refused_requests_ = 0;
  std::uint64_t rate_limited_appends_ = 0;
  std::map<std::string, LogStore> streams_;
  std::list<PendingRead> pending_reads_;
  // Requests received while "hang" was set; they never get a response.
  std::list<ExchangePtr> unanswered_exchanges_;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_log", "Stand-in for the platform's log service");
  options.add_options()("retention-count", "maximum number of retained records per stream",
                        cxxopts::value<std::size_t>()->default_value("100000"))(
      "retention-age-ms", "maximum age of retained records; 0 for no limit",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "max-appends-per-second", "appends beyond this rate are refused with status 429",
      cxxopts::value<std::uint64_t>()->default_value("300"));
  return cactusshelf::RunStandin<cactusshelf::LogStandin>(argc, argv, options);
}
