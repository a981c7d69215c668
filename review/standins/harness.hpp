// What the scripts of the review share: the platform's side of control and
// entry hosts (settings, start, signals) and an operator that speaks HTTP as
// the users' pages say. POSIX only, so that it builds without the project.

#ifndef REVIEW_STANDINS_HARNESS_H_
#define REVIEW_STANDINS_HARNESS_H_

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/vfs.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// Writes record.txt: one line for each thing that was sent, answered or done.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), start_(Clock::now()) {}
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() {
    if (file_) {
      std::fclose(file_);
    }
  }

  int64_t NowMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start_)
        .count();
  }

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    if (!file_) {
      return;
    }
    std::fprintf(file_, "%8.3f ", static_cast<double>(NowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  Clock::time_point start_;
};

struct Response {
  int status = 0;
  std::string location;
  std::string body;
};

inline sockaddr_in ToSockaddr(const std::string& address, int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &to.sin_addr);
  return to;
}

inline int RemainingMs(Clock::time_point deadline) {
  auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
  return std::max<int>(0, static_cast<int>(left.count()));
}

// Sends one HTTP/1.1 request on a connection of its own. Returns nothing if no
// whole response came in time.
inline std::optional<Response> Call(const std::string& address,
                                    int port,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body,
                                    int timeout_ms) {
  auto deadline = Clock::now() + milliseconds(timeout_ms);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return std::nullopt;
  }
  struct Closer {
    int fd;
    ~Closer() { close(fd); }
  } closer{fd};
  auto to = ToSockaddr(address, port);
  pollfd wait{fd, POLLOUT, 0};
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 &&
      errno != EINPROGRESS) {
    return std::nullopt;
  }
  if (poll(&wait, 1, RemainingMs(deadline)) <= 0) {
    return std::nullopt;
  }
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + address +
                    ":" + std::to_string(port) +
                    "\r\nContent-Type: application/json\r\nConnection: close"
                    "\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
  size_t sent = 0;
  while (sent < out.size()) {
    auto n = send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<size_t>(n);
      continue;
    }
    wait.events = POLLOUT;
    if (errno != EAGAIN || poll(&wait, 1, RemainingMs(deadline)) <= 0) {
      return std::nullopt;
    }
  }
  std::string in;
  while (true) {
    wait.events = POLLIN;
    if (poll(&wait, 1, RemainingMs(deadline)) <= 0) {
      return std::nullopt;
    }
    char buf[1 << 16];
    auto n = recv(fd, buf, sizeof(buf), 0);
    if (n < 0) {
      return std::nullopt;
    }
    if (n > 0) {
      in.append(buf, static_cast<size_t>(n));
    }
    auto head_end = in.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      std::string head = in.substr(0, head_end + 2);
      size_t length = 0;
      auto at = head.find("Content-Length: ");
      if (at != std::string::npos) {
        length = std::strtoul(head.c_str() + at + 16, nullptr, 10);
      }
      if (in.size() >= head_end + 4 + length) {
        Response response;
        response.status = std::atoi(head.c_str() + 9);
        response.body = in.substr(head_end + 4, length);
        at = head.find("Location: ");
        if (at != std::string::npos) {
          response.location =
              head.substr(at + 10, head.find("\r\n", at) - at - 10);
        }
        return response;
      }
    }
    if (n == 0) {
      return std::nullopt;
    }
  }
}

// A host's process, started as the platform does.
struct Host {
  std::string name;
  std::string zone;
  std::string address;
  bool is_entry = false;
  bool bootstrap = false;
  pid_t pid = -1;
};

// One deployment below a temporary folder, on loopback addresses of its own.
class Deployment {
 public:
  Deployment(std::string root, Record& record)
      : root_(std::move(root)), record_(record) {
    // Below the build folder if /tmp is no disk, where a sync takes no time.
    constexpr long kTmpfsMagic = 0x01021994;
    struct statfs info {};
    bool is_memory = statfs("/tmp", &info) == 0 && info.f_type == kTmpfsMagic;
    std::string folder = (is_memory ? root_ + "/target" : std::string("/tmp")) +
                         "/review-XXXXXX";
    folder_ = mkdtemp(folder.data()) ? folder : "";
    ChoosePorts();
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() {
    for (auto& host : hosts) {
      Signal(host, SIGKILL);
      Reap(host, 2'000);
    }
    std::error_code ec;
    if (!std::getenv("KEEP")) {
      std::filesystem::remove_all(folder_, ec);
    }
  }

  bool is_usable() const {
    return !folder_.empty() && access(Binary().c_str(), X_OK) == 0;
  }

  // The address of machine `number` of the subnet (1: entry hosts, 4: control
  // hosts, 8: backends, 9: clients, 5: behind a proxy).
  std::string Address(int subnet, int number) const {
    return "127." + std::to_string(network_) + "." + std::to_string(subnet) +
           "." + std::to_string(number);
  }

  std::string DiskOf(const Host& host) const {
    return folder_ + "/disk-" + host.name;
  }
  std::string LogOf(const Host& host) const {
    return folder_ + "/" + host.name + ".log";
  }

  // Fills in the settings as the template of the host's role does.
  void WriteSettings(const Host& host) const {
    std::string text =
        "node:\n  name: " + host.name +
        "\n  role: " + (host.is_entry ? "entry" : "control") +
        "\n  failure_domain: " + host.zone + "\n  address: " + host.address +
        "\n  link_port: " + std::to_string(link_port) + "\n  seeds:\n";
    for (const auto& seed : seeds) {
      text += "    - " + seed + ":" + std::to_string(control_port) + "\n";
    }
    if (host.is_entry) {
      text += "  packets: " + host.address + ":" + std::to_string(data_port) +
              "\n  ready: " + host.address + ":" + std::to_string(ready_port) +
              "\n";
    } else {
      text += "  admin: " + host.address + ":" + std::to_string(control_port) +
              "\n  data_folder: " + DiskOf(host) +
              "\n  founds_group: " + (host.bootstrap ? "true" : "false") + "\n";
    }
    text += "  announcement_interval_ms: " + std::to_string(heartbeat_ms) +
            "\n  grace_ms: 6000\n";
    if (host.is_entry) {
      text += "  link_mbps: 1000.0\n";
    }
    std::ofstream(folder_ + "/" + host.name + ".yaml") << text;
  }

  void Start(Host& host) {
    WriteSettings(host);
    std::string settings = folder_ + "/" + host.name + ".yaml";
    std::string log = LogOf(host);
    host.pid = fork();
    if (host.pid == 0) {
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(root_.c_str()) != 0) {
        _exit(127);
      }
      std::string variable = "ACACIAHOLD_CONFIG=" + settings;
      std::string path = "PATH=/usr/bin:/bin";
      std::string program = "target/tools/acaciahold/acaciahold";
      std::string verb = "run";
      char* argv[] = {program.data(), verb.data(), nullptr};
      char* envp[] = {variable.data(), path.data(), nullptr};
      execve(argv[0], argv, envp);
      _exit(127);
    }
    record_.Line("start   %s (bootstrap=%s)", host.name.c_str(),
                 host.bootstrap ? "true" : "false");
  }

  void Signal(const Host& host, int number) const {
    if (host.pid > 0) {
      kill(host.pid, number);
    }
  }

  // Waits for the process to end. Returns its exit code, -N after signal N, or
  // nothing if it still runs after `timeout_ms`.
  std::optional<int> Reap(Host& host, int timeout_ms) {
    if (host.pid <= 0) {
      return std::nullopt;
    }
    auto deadline = Clock::now() + milliseconds(timeout_ms);
    while (true) {
      int status = 0;
      if (waitpid(host.pid, &status, WNOHANG) == host.pid) {
        host.pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      }
      if (Clock::now() >= deadline) {
        return std::nullopt;
      }
      Sleep(1);
    }
  }

  void Kill(Host& host) {
    Signal(host, SIGKILL);
    Reap(host, 2'000);
    record_.Line("kill -9 %s", host.name.c_str());
  }

  std::string LastLogLine(const Host& host) const {
    std::ifstream in(LogOf(host));
    std::string line;
    std::string last;
    while (std::getline(in, line)) {
      last = line.empty() ? last : line;
    }
    return last;
  }

  std::vector<std::string> seeds;  // Addresses of control hosts.
  std::vector<Host> hosts;
  int heartbeat_ms = 1'200;
  int control_port = 0;
  int link_port = 0;
  int data_port = 0;
  int ready_port = 0;

 private:
  std::string Binary() const {
    return root_ + "/target/tools/acaciahold/acaciahold";
  }

  // Picks a network of loopback addresses and ports that are free on it.
  void ChoosePorts() {
    std::random_device device;
    network_ = 60 + static_cast<int>(device() % 150);
    int next = 20'000 + static_cast<int>(device() % 10'000);
    for (int* port : {&control_port, &link_port, &data_port, &ready_port}) {
      while (!IsFree(next)) {
        ++next;
      }
      *port = next++;
    }
  }

  static bool IsFree(int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = ToSockaddr("127.0.0.1", port);
    bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
    close(fd);
    return is_free;
  }

  std::string root_;
  std::string folder_;
  Record& record_;
  int network_ = 0;
};

// The operator: picks among the control hosts, follows a 307 twice, moves on
// after a failure, a 5xx or a second without a response.
class Operator {
 public:
  Operator(const Deployment& deployment, Record& record)
      : deployment_(deployment), record_(record) {}

  // Tries until a clear answer comes or the time is over.
  std::optional<Response> Send(const std::string& method,
                               const std::string& path,
                               const std::string& body,
                               int total_ms) {
    auto deadline = Clock::now() + milliseconds(total_ms);
    int pause_ms = 20;
    while (Clock::now() < deadline) {
      std::string address = addresses[next_++ % addresses.size()];
      std::optional<Response> response;
      std::string trail;
      for (int hop = 0; hop < 3; ++hop) {
        int timeout_ms = std::min(1'000, std::max(50, RemainingMs(deadline)));
        response = Call(address, deployment_.control_port, method, path, body,
                        timeout_ms);
        trail += " " + address + ":" +
                 (response ? std::to_string(response->status) : "none");
        if (!response || response->status != 307) {
          break;
        }
        address = response->location.substr(7);
        address = address.substr(0, address.find(':'));
      }
      bool is_clear = response && response->status != 307 &&
                      response->status < 500 && response->status != 408 &&
                      response->status != 429;
      if (!is_quiet || !is_clear) {
        record_.Line("%s %s ->%s", method.c_str(), path.c_str(), trail.c_str());
      }
      if (is_clear) {
        last_address = address;
        return response;
      }
      Sleep(std::min(pause_ms, RemainingMs(deadline)));
      pause_ms = std::min(pause_ms * 2, 400);
    }
    return std::nullopt;
  }

  std::vector<std::string> addresses;  // Of control hosts.
  std::string last_address;            // Where the last clear answer came from.
  bool is_quiet = false;

 private:
  const Deployment& deployment_;
  Record& record_;
  size_t next_ = 0;
};

// A configuration with ten routes to one service. `timeout_ms` changes with
// each version, as in the users' changes.
inline std::string MakeConfig(uint64_t version,
                              double cold_s = 2.0,
                              double cold_per_s = 0.0) {
  std::string routes;
  for (int i = 0; i < 10; ++i) {
    routes += std::string(i ? "," : "") + R"({"name":"r-)" + std::to_string(i) +
              R"(","host":"127.18.0.1","prefix":"/)" +
              std::to_string(8'000 + i) + R"(/","kind":"safe","timeoutMs":)" +
              std::to_string(800 + version) +
              R"(,"goalMs":120,"priority":2,"service":"desk","attempts":2})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"(],"services":[{"name":"desk","healthPath":"/healthz",)"
         R"("maxConns":2000,"proto":"h1","tls":false,"warmupS":)" +
         std::to_string(cold_s) + R"(,"warmupPerS":)" +
         std::to_string(cold_per_s) +
         R"(}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

inline uint64_t VersionOf(const std::string& config) {
  auto at = config.find("\"version\":");
  return at == std::string::npos
             ? 0
             : std::strtoull(config.c_str() + at + 10, nullptr, 10);
}

}  // namespace review

#endif  // REVIEW_STANDINS_HARNESS_H_
