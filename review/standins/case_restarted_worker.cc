// A worker loses power for a moment and starts again under its id, while short tasks go on being
// handed in.
#include "site.h"

namespace {

constexpr int kHosts = 3;
constexpr int kWorkers = 8;  // One of them is 0.125 of the service.
constexpr int kCrashes = 12;
constexpr int kDarkMs = 300;
constexpr int kGapMs = 4500;
constexpr int kTaskMs = 200;
constexpr int kClients = 4;

int Run(const review::Arguments& arguments) {
  auto& site = *new review::Site(arguments, kHosts, kWorkers);
  if (!site.Begin()) return 2;
  std::atomic<bool> traffic = true;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (traffic) {
        site.client.Submit(6, 2000, kTaskMs);
        review::SleepMs(120);
      }
    });
  }
  review::SleepMs(3000);
  for (int i = 0; i < kCrashes; ++i) {
    if (arguments.trouble) site.workers[static_cast<std::size_t>(i % kWorkers)]->LosePower(kDarkMs);
    review::SleepMs(kGapMs);
  }
  traffic = false;
  for (std::thread& it : clients) it.join();
  return site.Finish(30);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
