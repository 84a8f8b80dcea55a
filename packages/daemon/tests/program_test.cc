#include "program.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "cactusshelf/daemon/log_writer.h"
#include "cactusshelf/daemon/socket_address.h"
#include "test_support.h"

namespace cactusshelf {
namespace {

// Temporary file with the contents `text`, removed by the destructor.
struct TempFile {
  explicit TempFile(const std::string& text) {
    close(mkstemp(path.data()));
    std::ofstream(path) << text;
  }
  ~TempFile() { std::remove(path.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  std::string path = "/tmp/cactusshelf-test-XXXXXX";
};

std::string SettingsText() {
  return "host_name = \"h\"\ndomain = \"d\"\nhttp_address = \"" + UnusedAddress() +
         "\"\npeer_address = \"" + UnusedAddress() +
         "\"\nlog_level = \"error\"\nlog_service.address = \"127.0.0.1:9\"\n"
         "host_list.address = \"127.0.0.1:9\"\n";
}

int ExitCode(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "cactusshelfd");
  const StartupConfig startup =
      LoadStartupConfig(static_cast<int>(arguments.size()), arguments.data());
  const int* code = std::get_if<int>(&startup);
  return code == nullptr ? -1 : *code;
}

// Emits a Stop effect as soon as it is started.
struct StoppingNode : FakeNode {
  StoppingNode(const NodeOptions& options, std::uint64_t /*seed*/) {
    REQUIRE(options.incarnation > 1'700'000'000'000'000);
    effects.emplace_back(node_effect::Stop{});
  }
};

// Ports that do nothing, since these tests do not start the job service.
struct FakeJobPorts {
  FakeJobPorts(const JobSettings& /*settings*/, ShellMetrics& /*metrics*/,
               const std::function<void(jobs::JobEvent)>& /*sink*/,
               const std::function<bool()>& /*ready*/) {}
  void Reply(const jobs::job_effect::Reply& /*reply*/) {}
  void Read(const jobs::job_effect::ReadRecords& /*read*/) {}
  void Read(const jobs::job_effect::ReadNewest& /*read*/) {}
  void Append(const jobs::job_effect::Append& /*append*/) {}
  void Send(const jobs::WorkerOrder& /*order*/) {}
  void BeginDrain() {}
  void Close(const std::function<void()>& on_closed) { on_closed(); }
};

}  // namespace

TEST_CASE("the command line and the settings file decide whether the process starts") {
  const TempFile good(SettingsText());
  const TempFile bad("host_name = 1\n");
  CHECK(ExitCode({"--help"}) == 0);
  CHECK(ExitCode({"--version"}) == 0);
  CHECK(ExitCode({"--config", good.path.c_str(), "--check"}) == 0);
  CHECK(ExitCode({"--config", good.path.c_str()}) == -1);
  CHECK(ExitCode({"--config", bad.path.c_str(), "--check"}) == 2);
  CHECK(ExitCode({"--config", bad.path.c_str()}) == 2);
  CHECK(ExitCode({"--config", "/tmp"}) == 2);
  CHECK(ExitCode({"--config", "/nonexistent"}) == 2);
  CHECK(ExitCode({"--unknown"}) == 2);
  CHECK(ExitCode({"stray"}) == 2);
  CHECK(ExitCode({}) == 2);
}

TEST_CASE("the program runs until its node stops it and exits with code 1 if it cannot listen") {
  const TempFile file(SettingsText());
  const char* arguments[] = {"cactusshelfd", "--config", file.path.c_str()};
  CHECK(RunProgram<StoppingNode, FakeJobPorts>(3, arguments) == 0);
  Findings findings;
  const Settings settings = ParseSettings(ReadSettingsFile(file.path), file.path, findings);
  const GObjectPtr<GSocket> taken = Listen(settings.node.http_address);
  CHECK(RunProgram<StoppingNode, FakeJobPorts>(3, arguments) == 1);
}

TEST_CASE("log lines have a timestamp and events below the minimum level are not written") {
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* stream = open_memstream(&text, &size);
  LogWriter log(LogLevel::kInfo, stream);
  const WallTime time(std::chrono::milliseconds(1'700'000'000'042));
  log.Write(time, LogEvent(LogLevel::kDebug, "hidden"));
  log.Write(time, LogEvent(LogLevel::kInfo, "shown").With("n", 1));
  std::fclose(stream);
  CHECK(std::string(text, size) == "time=2023-11-14T22:13:20.042Z level=info event=shown n=1\n");
  std::free(text);
}

}  // namespace cactusshelf
