#include "cactusshelf/cli/command_line.h"

#include <libsoup/soup.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "support.h"

namespace cactusshelf {
namespace {

// Serves both the log service and an entry host on a loopback port, in a separate thread.
class FakeServer {
 public:
  FakeServer() : context_(g_main_context_new()), loop_(g_main_loop_new(context_, FALSE)) {
    g_main_context_push_thread_default(context_);
    server_ = SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr));
    soup_server_add_handler(server_, "/v1", &FakeServer::Handle, this, nullptr);
    REQUIRE(soup_server_listen_local(server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
    GSList* uris = soup_server_get_uris(server_);
    address_ = "127.0.0.1:" + std::to_string(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    g_main_context_pop_thread_default(context_);
    thread_ = std::thread([this] {
      g_main_context_push_thread_default(context_);
      g_main_loop_run(loop_);
      g_main_context_pop_thread_default(context_);
    });
  }

  ~FakeServer() {
    g_main_loop_quit(loop_);
    thread_.join();
    g_object_unref(server_);
    g_main_loop_unref(loop_);
    g_main_context_unref(context_);
  }

  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  const std::string& address() const { return address_; }

  // Not synchronized with the server thread: must not be accessed while a command runs.
  LogFixture log;

 private:
  static void Handle(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                     GHashTable* query, gpointer self) {
    auto& log = static_cast<FakeServer*>(self)->log;
    std::string body = R"({"revision": 0, "offset": 1})";
    if (std::string_view(path).ends_with("/records")) {
      if (soup_server_message_get_method(message) == SOUP_METHOD_POST) {
        SoupMessageBody* request = soup_server_message_get_request_body(message);
        log.AppendBytes(std::string(request->data, static_cast<std::size_t>(request->length)));
        body = LogProtocol::EncodeAppendReply(log.log.next() - 1);
      } else {
        const auto* from = static_cast<const char*>(g_hash_table_lookup(query, "from"));
        body = LogProtocol::EncodeReadReply(log.log.Read(std::stoull(from)));
      }
    }
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                     body.size());
  }

  GMainContext* context_;
  GMainLoop* loop_;
  SoupServer* server_ = nullptr;
  std::string address_;
  std::thread thread_;
};

struct CommandResult {
  ExitCode code;
  std::string out;
  std::string err;
};

CommandResult Run(const std::vector<std::string>& arguments) {
  std::vector<const char*> argv{"cactusshelf"};
  for (const std::string& it : arguments) {
    argv.push_back(it.c_str());
  }
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(static_cast<int>(argv.size()), argv.data(), out, err);
  UNSCOPED_INFO(err.str());
  return {code, out.str(), err.str()};
}

// Temporary directory, removed by the destructor.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string name = std::filesystem::temp_directory_path() / "cactusshelf-XXXXXX";
    REQUIRE(g_mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  std::string Write(const std::string& name, std::string_view text) const {
    std::ofstream(path_ / name) << text;
    return path_ / name;
  }

 private:
  std::filesystem::path path_;
};

TEST_CASE("check reports the findings of all files together") {
  const TemporaryDirectory directory;
  const std::string jobs = directory.Write("jobs.toml", kJob);
  const std::string other = directory.Write("other.toml", "[[customer]]\n");
  const CommandResult result = Run({"check", jobs, other});
  CHECK(result.code == ExitCode::kInvalid);
  CHECK(result.out ==
        "jobs.toml:3:8: team batch is not defined\n"
        "other.toml:1:1: customer lacks the key 'name'\n"
        "other.toml:1:1: customer lacks the key 'priority'\n");
  CHECK(Run({"check", jobs, directory.Write("c.toml", kCustomers)}).code == ExitCode::kSuccess);
}

TEST_CASE("wrong usage has its own exit code and is not reported as a log failure") {
  for (const std::vector<std::string>& arguments :
       {std::vector<std::string>{},
        {"dance"},
        {"check"},
        {"check", "/nonexistent"},
        {"publish", "--log", "127.0.0.1:1"},
        {"show"},
        {"show", "--log", "nowhere"},
        {"audit", "--log", "127.0.0.1:1"},
        {"show", "--no-such-option"},
        {"show", "--log", "127.0.0.1:1", "--output", "xml"},
        {"publish", "--log", "127.0.0.1:1", "--remove", "a", "--base", "x"}}) {
    CHECK(Run(arguments).code == ExitCode::kUsage);
  }
  CHECK(Run({"--help"}).code == ExitCode::kSuccess);
  CHECK(Run({"--version"}).out == "cactusshelf 0.1.0\n");
}

TEST_CASE("a log that cannot be reached is not reported as an empty configuration") {
  for (const char* command : {"show", "audit"}) {
    const CommandResult result =
        Run({command, "--log", "127.0.0.1:1", "--timeout", "1", "--customer", "acme"});
    CHECK(result.code == ExitCode::kLogUnavailable);
    CHECK(result.out.empty());
  }
}

TEST_CASE(
    "published files are shown unchanged, and an entry host with an old revision is reported") {
  FakeServer server;
  const TemporaryDirectory directory;
  const std::string file = directory.Write("c.toml", kCustomers);
  CHECK(Run({"publish", file, "--log", server.address(), "--publication-id", "p"}).out ==
        "accepted as revision 0\n");
  const CommandResult repeated =
      Run({"publish", file, "--log", server.address(), "--publication-id", "p"});
  CHECK(repeated.code == ExitCode::kSuccess);
  CHECK(Run({"show", "--log", server.address(), "--file", "c.toml"}).out == kCustomers);
  const CommandResult in_force =
      Run({"show", "--log", server.address(), "--entry", server.address()});
  CHECK(in_force.code == ExitCode::kSuccess);
  const CommandResult removed =
      Run({"publish", "--remove", "c.toml", "--log", server.address(), "--output", "json"});
  CHECK(nlohmann::json::parse(removed.out)["revision"] == 1);
  CHECK(Run({"publish", file, "--log", server.address(), "--base", "0"}).code ==
        ExitCode::kConflict);
  const CommandResult behind =
      Run({"show", "--log", server.address(), "--entry", server.address()});
  CHECK(behind.code == ExitCode::kNotInForceEverywhere);
  CHECK_THAT(behind.out, Catch::Contains("entry host " + server.address() + ": revision 0"));
}

TEST_CASE("an audit lists the missing proofs, and altered evidence fails verification") {
  FakeServer server;
  server.log.Publish({{"c", std::string(kCustomers)}});
  server.log.Join("a");
  const std::vector<std::string> audit{"audit", "--log", server.address(), "--customer", "acme"};
  CHECK(Run(audit).code == ExitCode::kNotCertified);
  server.log.Publish({{"r", std::string(kRetirement)}});
  const CommandResult withheld = Run(audit);
  CHECK(withheld.code == ExitCode::kNotCertified);
  CHECK_THAT(withheld.out, Catch::Contains("missing: member a/1 has not attested"));
  server.log.AttestMember("a/1");
  const TemporaryDirectory directory;
  const std::string file = directory.Write("evidence.json", "");
  std::vector<std::string> export_arguments = audit;
  export_arguments.insert(export_arguments.end(), {"--export", file, "--output", "json"});
  const CommandResult certified = Run(export_arguments);
  REQUIRE(certified.code == ExitCode::kSuccess);
  const std::string chain = nlohmann::json::parse(certified.out)["evidence_chain"];
  CHECK(Run({"audit", "--verify", file, "--chain", chain}).code == ExitCode::kSuccess);
  CHECK(Run({"audit", "--verify", file, "--chain", "0"}).code == ExitCode::kEvidenceInvalid);
  std::ifstream stream(file);
  std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  text.replace(text.find("attest"), 6, "remove");
  const CommandResult altered = Run({"audit", "--verify", directory.Write("altered.json", text)});
  CHECK(altered.code == ExitCode::kEvidenceInvalid);
}

}  // namespace
}  // namespace cactusshelf
