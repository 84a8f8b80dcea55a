// A worker loses power for a moment, starts again under its id, and is cut off from the entry hosts
// before the owner has heard of it again.
#include "site.h"

namespace {

constexpr int kHosts = 3;
constexpr int kWorkers = 8;  // One of them is 0.125 of the service.
constexpr int kRounds = 6;
constexpr int kDarkMs = 300;
constexpr int kHeardMs = 800;
constexpr int kCutMs = 5500;
constexpr int kPauseMs = 3000;
constexpr int kTaskMs = 1000;
constexpr int kClients = 4;

int Run(const review::Arguments& arguments) {
  auto& site = *new review::Site(arguments, kHosts, kWorkers);
  if (!site.Begin()) return 2;
  std::atomic<bool> traffic = true;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (traffic) {
        site.client.Submit(6, 1000, kTaskMs);
        review::SleepMs(300);
      }
    });
  }
  review::SleepMs(5000);
  for (int i = 0; i < kRounds; ++i) {
    if (arguments.trouble) {
      const std::string id = site.record.LastStarted();
      review::Worker& worker = **std::find_if(site.workers.begin(), site.workers.end(),
                                              [&](const auto& it) { return it->id() == id; });
      worker.LosePower(kDarkMs);
      review::SleepMs(kHeardMs);
      worker.CutOff(kCutMs);
    }
    review::SleepMs(kPauseMs);
  }
  traffic = false;
  for (std::thread& it : clients) it.join();
  return site.Finish(30);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
