// Stand-ins of the platform; see lab.hpp.

#include "lab.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {
namespace {

constexpr int kControlPort = 8166;
constexpr int kReadyPort = 8167;
constexpr int kDataPort = 8172;
constexpr int kLinkPort = 7720;
constexpr int kUpstreamPort = 8080;
constexpr int kHead = 34;
constexpr uint8_t kSyn = 16;
constexpr uint8_t kAck = 32;
constexpr uint8_t kFin = 2;
constexpr uint8_t kRst = 8;
constexpr uint32_t kSum = 0x5eed5eed;  // Stands for the keyed sum.
constexpr uint16_t kRequestBytes = 600;
constexpr uint16_t kAnswerBytes = 500;
// Tells upstreams that the request is a long one.
constexpr uint16_t kLongRequestBytes = 700;

template <typename T>
T Load(const uint8_t* at) {
  T v;
  std::memcpy(&v, at, sizeof v);
  return v;  // x86-64 and arm64 are little-endian, as the head is.
}

template <typename T>
void Store(uint8_t* at, T v) {
  std::memcpy(at, &v, sizeof v);
}

sockaddr_in At(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

uint32_t Number(const std::string& ip) {
  return ntohl(At(ip, 0).sin_addr.s_addr);
}

std::string Text(uint32_t ip) {
  in_addr a{htonl(ip)};
  char buf[32];
  return inet_ntop(AF_INET, &a, buf, sizeof buf);
}

int BindUdp(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto a = At(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    throw std::runtime_error("can't bind " + ip);
  }
  int size = 4 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  return fd;
}

struct Head {
  uint8_t flags = 0;
  uint32_t echo = 0, seq = 0, ack = 0, src = 0, dst = 0;
  uint16_t sport = 0, dport = 0, len = 0;
  uint32_t sum = kSum;
};

std::vector<uint8_t> Encode(const Head& h) {
  std::vector<uint8_t> p(kHead + h.len);
  Store(&p[0], h.sum);
  p[4] = h.flags;
  Store(&p[8], h.echo);
  Store(&p[12], h.seq);
  Store(&p[16], h.ack);
  Store(&p[20], h.dport);
  Store(&p[22], h.src);
  Store(&p[26], h.dst);
  Store(&p[30], h.sport);
  Store(&p[32], h.len);
  return p;
}

Head Decode(const uint8_t* p) {
  Head h;
  h.sum = Load<uint32_t>(p);
  h.flags = p[4];
  h.echo = Load<uint32_t>(p + 8);
  h.seq = Load<uint32_t>(p + 12);
  h.ack = Load<uint32_t>(p + 16);
  h.dport = Load<uint16_t>(p + 20);
  h.src = Load<uint32_t>(p + 22);
  h.dst = Load<uint32_t>(p + 26);
  h.sport = Load<uint16_t>(p + 30);
  h.len = Load<uint16_t>(p + 32);
  return h;
}

uint64_t IdOf(const Upstream& upstream) {
  return std::strtoull(upstream.id.c_str() + 2, nullptr, 16);
}

uint32_t InitialSeq(const Upstream& upstream) {
  return static_cast<uint32_t>((IdOf(upstream) % 1'000'003U) * 4'099U) | 1U;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void Sleep(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

Answer Call(const std::string& ip,
            int port,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            double timeout_ms) {
  Answer answer;
  double deadline = Now() + timeout_ms;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto a = At(ip, port);
  auto wait = [&](short events) {
    pollfd p{fd, events, 0};
    double left = deadline - Now();
    return left > 0 && poll(&p, 1, static_cast<int>(left) + 1) > 0;
  };
  std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + ip +
                        "\r\nConnection: close\r\n" +
                        "Content-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
  int rc = connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
  bool ok = rc == 0 || (errno == EINPROGRESS && wait(POLLOUT));
  for (size_t sent = 0; ok && sent < request.size();) {
    auto n =
        send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<size_t>(n);
    } else {
      ok = errno == EAGAIN && wait(POLLOUT);
    }
  }
  std::string text;
  while (ok && wait(POLLIN)) {
    char buf[65536];
    auto n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      break;
    }
    text.append(buf, static_cast<size_t>(n));
    auto end = text.find("\r\n\r\n");
    auto length = text.find("Content-Length: ");
    if (end != std::string::npos && length != std::string::npos &&
        text.size() >=
            end + 4 + std::strtoul(&text[length + 16], nullptr, 10)) {
      answer.status = std::atoi(text.c_str() + 9);
      answer.body = text.substr(end + 4);
      auto at = text.find("Location: ");
      if (at != std::string::npos && at < end) {
        answer.location = text.substr(at + 10, text.find("\r\n", at) - at - 10);
      }
      break;
    }
  }
  close(fd);
  return answer;
}

std::string MakeConfig(uint64_t version,
                       const std::vector<Route>& routes,
                       const std::vector<Service>& services) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  bool first = true;
  for (const auto& it : routes) {
    text += std::string(first ? "" : ",") + "{\"name\":\"" + it.name +
            "\",\"host\":\"" + it.host + "\",\"prefix\":\"/" +
            std::to_string(it.port) + "/\",\"kind\":\"" + it.kind +
            "\",\"timeoutMs\":" + std::to_string(it.timeout_ms) +
            ",\"goalMs\":" + std::to_string(it.goal_ms) +
            ",\"priority\":1,\"service\":\"" + it.service +
            "\",\"attempts\":2}";
    first = false;
  }
  text += "],\"services\":[";
  first = true;
  for (const auto& it : services) {
    text += std::string(first ? "" : ",") + "{\"name\":\"" + it.name +
            "\",\"healthPath\":\"/healthz\",\"maxConns\":2000,\"proto\":\"h1\","
            "\"tls\":false,\"warmupS\":" +
            std::to_string(it.warmup_s) +
            ",\"warmupPerS\":" + std::to_string(it.warmup_per_s) + "}";
    first = false;
  }
  return text +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

// A caller's flow with one request.
struct Lab::Flow {
  size_t zone = 0;
  const Route* route = nullptr;
  uint32_t src = 0, dst = 0;
  uint16_t sport = 0, dport = 0;
  uint32_t isn = 0;
  uint32_t echo = 0;
  uint32_t peer_seq = 0;
  Upstream* owner = nullptr;
  uint32_t answers = 0;
  uint32_t asked_bytes = 0;  // Of the requests that were answered.
  uint16_t request_bytes = kRequestBytes;  // Of the last request.
  int long_round = 0;
  bool is_waiting = false;  // For the answer to a request.
  int copies = 0;

  uint32_t NextSeq() const { return isn + 1 + asked_bytes; }
  uint32_t NextAck() const { return peer_seq + 1 + answers * kAnswerBytes; }
  bool is_open = false;
  double started_ms = 0;  // Of the opening, or of the last request.
  double opened_ms = 0;
  double due_ms = 0;
  double delay_ms = 200;
};

Lab::Lab(Options options) : options_(std::move(options)) {
  Now();
  signal(SIGPIPE, SIG_IGN);
  const char* root = std::getenv("LAB_ROOT");
  const char* record = std::getenv("LAB_RECORD");
  const char* folder = std::getenv("LAB_FOLDER");
  if (!root || !record || !folder) {
    throw std::runtime_error("LAB_ROOT, LAB_RECORD and LAB_FOLDER are needed");
  }
  binary_ = std::string(root) + "/target/tools/acaciahold/acaciahold";
  folder_ = folder;
  record_ = std::fopen(record, "w");
  if (access(binary_.c_str(), X_OK) != 0 || !record_) {
    throw std::runtime_error("can't run " + binary_ + " or write the record");
  }
  // A network of 127.0.0.0/8 in which nobody uses the ports.
  for (network_ = 60 + getpid() % 120;; ++network_) {
    if (network_ > 250) {
      throw std::runtime_error("no free network");
    }
    try {
      close(BindUdp(Ip(2, 1), kDataPort));
      close(BindUdp(Ip(1, 1), kDataPort));
      break;
    } catch (const std::runtime_error&) {
    }
  }
  for (int i = 0; i < options_.control_hosts; ++i) {
    AddControlHost(true);
  }
  int number = 0;
  for (const auto& zone : options_.zones) {
    for (int i = 0; i < options_.entry_hosts_per_zone; ++i) {
      Host host;
      ++number;
      host.name = "entry-" + zone + "-" + std::to_string(i + 1);
      host.zone = zone;
      host.ip = Ip(1, number);
      entries_.push_back(host);
    }
  }
  for (size_t i = 0; i < options_.zones.size(); ++i) {
    caller_fds_.push_back(BindUdp(Ip(2, static_cast<int>(i) + 1), kDataPort));
  }
  threads_.emplace_back([this] { Packets(); });
}

Lab::~Lab() {
  is_over_ = true;
  for (auto& it : upstreams_) {
    it.is_running = false;
  }
  for (auto& it : threads_) {
    it.join();
  }
  for (auto& it : upstreams_) {
    if (it.heartbeats.joinable()) {
      it.heartbeats.join();
    }
    close(it.fd);
  }
  for (auto* hosts : {&controls_, &entries_}) {
    for (auto& host : *hosts) {
      if (host.pid > 0) {
        kill(host.pid, SIGKILL);
        waitpid(host.pid, nullptr, 0);
      }
    }
  }
  std::fclose(record_);
}

void Lab::Record(const char* format, ...) {
  std::lock_guard lock(record_mutex_);
  std::fprintf(record_, "%9.1f ", Now());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_, format, args);
  va_end(args);
  std::fputc('\n', record_);
  std::fflush(record_);
}

std::string Lab::Ip(int subnet, int number) const {
  return "127." + std::to_string(network_) + "." + std::to_string(subnet) +
         "." + std::to_string(number);
}

int Lab::AddControlHost(bool bootstrap) {
  std::lock_guard lock(mutex_);
  int i = static_cast<int>(controls_.size());
  Host host;
  host.name = "core-" + std::to_string(i + 1);
  host.zone = options_.zones[static_cast<size_t>(i) % options_.zones.size()];
  host.ip = Ip(4, i + 1);
  host.bootstrap = bootstrap;
  controls_.push_back(host);
  return i;
}

std::vector<std::string> Lab::ControlIps() {
  std::lock_guard lock(mutex_);
  std::vector<std::string> ips;
  for (const auto& it : controls_) {
    if (!it.is_retired) {
      ips.push_back(it.ip);
    }
  }
  return ips;
}

// Fills in deploy/entry.yaml.tmpl or deploy/control.yaml.tmpl.
void Lab::WriteSettings(const Host& host, bool is_entry) {
  std::ofstream out(folder_ + "/" + host.name + ".yaml");
  out << "node:\n  name: " << host.name
      << "\n  role: " << (is_entry ? "entry" : "control")
      << "\n  failure_domain: " << host.zone << "\n  address: " << host.ip
      << "\n  link_port: " << kLinkPort << "\n  seeds:\n";
  int seeds = 0;
  for (const auto& it : controls_) {
    if (!it.is_retired && seeds++ < 3) {
      out << "    - " << it.ip << ":" << kControlPort << "\n";
    }
  }
  if (is_entry) {
    out << "  packets: " << host.ip << ":" << kDataPort
        << "\n  ready: " << host.ip << ":" << kReadyPort;
  } else {
    out << "  admin: " << host.ip << ":" << kControlPort
        << "\n  data_folder: " << folder_ << "/disk-" << host.name
        << "\n  founds_group: " << (host.bootstrap ? "true" : "false");
  }
  out << "\n  announcement_interval_ms: " << options_.heartbeat_ms
      << "\n  grace_ms: 6000\n";
  if (is_entry) {
    out << "  link_mbps: 1000.0\n";
  }
}

void Lab::Start(Host& host, bool is_entry) {
  WriteSettings(host, is_entry);
  if (!is_entry) {
    std::filesystem::create_directories(folder_ + "/disk-" + host.name);
  }
  std::string variable =
      "ACACIAHOLD_CONFIG=" + folder_ + "/" + host.name + ".yaml";
  std::string log = folder_ + "/" + host.name + ".log";
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  // The commands of deploy/system.toml.
  const char* entry[] = {binary_.c_str(), "run", nullptr};
  const char* control[] = {binary_.c_str(), "run", "--tolerated-disk-losses=1",
                           nullptr};
  const char* env[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, 1);
    dup2(out, 2);
    execve(binary_.c_str(), const_cast<char**>(is_entry ? entry : control),
           const_cast<char**>(env));
    _exit(127);
  }
  close(out);
  host.pid = pid;
  ++host.started;
  Record("start %s at %s", host.name.c_str(), host.ip.c_str());
}

void Lab::StartControl(int i) {
  std::lock_guard lock(mutex_);
  auto& host = controls_[static_cast<size_t>(i)];
  Start(host, false);
  host.bootstrap = false;  // Later starts are not the first one.
}

void Lab::StartEntries() {
  for (size_t i = 0; i < entries_.size(); ++i) {
    {
      std::lock_guard lock(mutex_);
      Start(entries_[i], true);
    }
    threads_.emplace_back([this, i] { Probes(i); });
  }
}

void Lab::KillControl(int i) {
  std::lock_guard lock(mutex_);
  auto& host = controls_[static_cast<size_t>(i)];
  kill(host.pid, SIGKILL);
  waitpid(host.pid, nullptr, 0);
  host.pid = -1;
  Record("kill %s", host.name.c_str());
}

double Lab::TerminateControl(int i) {
  std::lock_guard lock(mutex_);
  auto& host = controls_[static_cast<size_t>(i)];
  double began = Now();
  kill(host.pid, SIGTERM);
  while (waitpid(host.pid, nullptr, WNOHANG) == 0 && Now() < began + 6'000) {
    mutex_.unlock();
    Sleep(5);
    mutex_.lock();
  }
  host.pid = -1;
  Record("SIGTERM to %s, which ended after %.0f ms", host.name.c_str(),
         Now() - began);
  return Now() - began;
}

void Lab::AskLongRequests(const std::string& route) {
  std::lock_guard lock(mutex_);
  long_route_ = route;
  ++long_round_;
  for (auto& [key, flow] : flows_) {
    if (flow->route->name == route && flow->is_open && !flow->is_waiting) {
      flow->due_ms = Now();
    }
  }
  Record("long requests on %s", route.c_str());
}

void Lab::WipeControl(int i) {
  std::lock_guard lock(mutex_);
  const auto& host = controls_[static_cast<size_t>(i)];
  std::filesystem::remove_all(folder_ + "/disk-" + host.name);
  Record("wipe the disk of %s", host.name.c_str());
}

void Lab::RetireControl(int i) {
  std::lock_guard lock(mutex_);
  controls_[static_cast<size_t>(i)].is_retired = true;
  Record("%s is gone for good", controls_[static_cast<size_t>(i)].name.c_str());
}

size_t Lab::CountReadyEntries() {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const Host& it) { return it.failed_probes < 2; }));
}

int Lab::CountEnded() {
  std::lock_guard lock(mutex_);
  int n = 0;
  for (auto* hosts : {&controls_, &entries_}) {
    for (auto& host : *hosts) {
      if (host.pid > 0 && waitpid(host.pid, nullptr, WNOHANG) == host.pid) {
        Record("%s ended by itself", host.name.c_str());
        host.pid = -1;
        ++n;
      }
    }
  }
  return n;
}

int Lab::Order(const std::string& method,
               const std::string& path,
               const std::string& body,
               double for_ms) {
  double deadline = Now() + for_ms;
  double pause = 100;
  int last = -1;
  for (size_t i = 0;; ++i) {
    auto ips = ControlIps();
    std::string ip = ips[i % ips.size()];
    std::string to = path;
    Answer answer;
    for (int redirects = 0; redirects <= 2; ++redirects) {
      answer = Call(ip, kControlPort, method, to, body, 1'000);
      if (answer.status != 307) {
        break;
      }
      auto at = answer.location.substr(7);
      ip = at.substr(0, at.find(':'));
    }
    Record("operator: %s %s to %s: %d", method.c_str(), path.c_str(),
           ip.c_str(), answer.status);
    last = answer.status;
    bool is_final =
        last >= 200 && last < 500 && last != 307 && last != 408 && last != 429;
    if (is_final || Now() >= deadline) {
      return last;
    }
    Sleep(pause);
    pause = std::min(pause * 2, 1'000.0);
  }
}

Upstream& Lab::AddUpstream(const std::string& service,
                           const std::string& zone,
                           double work_ms,
                           double warmup_s,
                           bool starts_cold,
                           const std::string& id,
                           int host_number) {
  std::lock_guard lock(mutex_);
  auto& it = upstreams_.emplace_back();
  int number =
      host_number > 0 ? host_number : static_cast<int>(upstreams_.size());
  char made[32];
  std::snprintf(made, sizeof made, "i-%08x", 0x7a000000U + 7919U * number);
  it.id = id.empty() ? made : id;
  it.service = service;
  it.zone = zone;
  it.ip = Ip(3, number);
  it.work_ms = work_ms;
  it.warmup_s = warmup_s;
  it.starts_cold = starts_cold;
  it.started_ms = Now();
  it.born_ms = UnixMs();
  it.fd = BindUdp(it.ip, kUpstreamPort);
  it.is_running = true;
  Record("start upstream %s of %s in %s%s", it.id.c_str(), service.c_str(),
         zone.c_str(), starts_cold ? ", cold" : "");
  it.heartbeats = std::thread([this, &it] { Heartbeats(it); });
  return it;
}

void Lab::Heartbeats(Upstream& upstream) {
  size_t next = 0;
  std::string preferred;
  int failures = 0;
  for (uint64_t seq = 1; upstream.is_running; ++seq) {
    auto ips = ControlIps();
    std::string ip = preferred.empty() ? ips[next % ips.size()] : preferred;
    double left = upstream.starts_cold
                      ? std::max(0.0, upstream.started_ms +
                                          upstream.warmup_s * 1e3 - Now())
                      : 0;
    std::string body = "{\"service\":\"" + upstream.service + "\",\"addr\":\"" +
                       upstream.ip + ":" + std::to_string(kUpstreamPort) +
                       "\",\"zone\":\"" + upstream.zone +
                       "\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
                       "\"warmupLeftMs\":" +
                       std::to_string(static_cast<int>(left)) +
                       ",\"seq\":" + std::to_string(seq) +
                       ",\"born\":" + std::to_string(upstream.born_ms) + "}";
    auto answer = Call(ip, kControlPort, "PUT", "/-/instances/" + upstream.id,
                       body, 1'000);
    bool is_acked = answer.status / 100 == 2;
    if (is_acked && failures >= 0) {
      Record("heartbeat %s seq %lu to %s: %d, cold for %d ms more",
             upstream.id.c_str(), static_cast<unsigned long>(seq), ip.c_str(),
             answer.status, static_cast<int>(left));
    }
    if (!is_acked) {
      preferred.clear();
      ++next;
      ++failures;
      Sleep(50);
      continue;
    }
    failures = 0;
    auto at = answer.body.find("\"heartbeatAddr\":\"");
    if (at != std::string::npos) {
      auto text = answer.body.substr(at + 17);
      preferred = text.substr(0, text.find(':'));
    }
    double until = Now() + options_.heartbeat_ms;
    while (upstream.is_running && Now() < until) {
      Sleep(20);
    }
  }
}

// The fabric asks each entry host twice a second whether it is ready.
void Lab::Probes(size_t i) {
  std::string ip = entries_[i].ip;
  while (!is_over_) {
    auto answer = Call(ip, kReadyPort, "GET", "/-/readyz", "", 450);
    {
      std::lock_guard lock(mutex_);
      auto& n = entries_[i].failed_probes;
      n = answer.status == 200 ? 0 : n + 1;
    }
    Sleep(500);
  }
}

void Lab::SendToFabric(Flow& flow,
                       uint8_t flags,
                       uint32_t seq,
                       uint32_t ack,
                       uint16_t len) {
  std::vector<const Host*> all;
  std::vector<const Host*> rotation;
  for (const auto& it : entries_) {
    if (it.zone == options_.zones[flow.zone]) {
      all.push_back(&it);
      if (it.failed_probes < 2) {
        rotation.push_back(&it);
      }
    }
  }
  if (rotation.size() * 2 < all.size()) {
    rotation = all;
  }
  uint64_t hash = (uint64_t{flow.src} << 16U | flow.sport) * 0x9e3779b97f4a7c15;
  hash ^= uint64_t{flow.dst} << 16U | flow.dport;
  hash *= 0xff51afd7ed558ccd;
  const auto* host = rotation[(hash >> 33U) % rotation.size()];
  Head h;
  h.flags = flags;
  h.echo = flow.echo;
  h.seq = seq;
  h.ack = ack;
  h.src = flow.src;
  h.sport = flow.sport;
  h.dst = flow.dst;
  h.dport = flow.dport;
  h.len = len;
  auto packet = Encode(h);
  auto to = At(host->ip, kDataPort);
  sendto(caller_fds_[flow.zone], packet.data(), packet.size(), 0,
         reinterpret_cast<sockaddr*>(&to), sizeof to);
}

void Lab::StartCallers(const std::vector<Route>& routes, double flows_per_s) {
  std::lock_guard lock(mutex_);
  routes_ = routes;
  flows_per_s_ = flows_per_s;
  next_flow_ms_ = Now();
  is_calling_ = true;
  Record("callers start: %.0f flows a second", flows_per_s);
}

Counts Lab::counts() {
  std::lock_guard lock(mutex_);
  return counts_;
}

void Lab::StepFlows(double now) {
  while (is_calling_ && next_flow_ms_ <= now) {
    next_flow_ms_ += 1e3 / flows_per_s_;

    auto flow = std::make_unique<Flow>();
    ++flow_number_;
    flow->zone = flow_number_ % options_.zones.size();
    flow->route =
        &routes_[(flow_number_ / options_.zones.size()) % routes_.size()];
    flow->src = Number(Ip(2, static_cast<int>(flow->zone) + 1));
    flow->sport = static_cast<uint16_t>(10'000 + flow_number_ % 50'000);
    flow->dst = Number(flow->route->host);
    flow->dport = static_cast<uint16_t>(flow->route->port);
    flow->isn = static_cast<uint32_t>(flow_number_ * 2'654'435'761U);
    flow->started_ms = now;
    flow->opened_ms = now;
    flow->due_ms = now + 200;
    auto key = std::pair(flow->src, flow->sport);
    auto same = std::count_if(flows_.begin(), flows_.end(), [&](auto& it) {
      return it.second->zone == flow->zone && it.second->route == flow->route;
    });
    bool is_enough =
        flow->route->has_long_flows && same >= flow->route->flows_per_zone;
    bool is_used = flow->route->zone < 0 ||
                   flow->zone == static_cast<size_t>(flow->route->zone);
    bool is_turn = is_used && turns_[flow->route]++ % flow->route->one_in == 0;
    if (flows_.contains(key) || is_enough || !is_turn) {
      continue;
    }
    ++counts_.attempts;
    auto& it = *(flows_[key] = std::move(flow));
    SendToFabric(it, kSyn, it.isn, 0, 0);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    auto& flow = *it->second;
    bool is_late = (flow.is_waiting || !flow.is_open) &&
                   now >= flow.started_ms +
                              (flow.is_open ? flow.route->timeout_ms : 1'400);
    bool is_ending = flow.is_open && !flow.is_waiting && !is_calling_;
    if (is_late || is_ending) {
      counts_.timed_out += is_late ? 1 : 0;
      if (flow.is_open) {
        SendToFabric(flow, kFin | kAck, flow.NextSeq(), flow.NextAck(), 0);
      }
      it = flows_.erase(it);
      continue;
    }
    if (now >= flow.due_ms && !flow.is_open) {
      ++flow.copies;
      flow.due_ms = flow.started_ms + (flow.copies == 1 ? 600 : 1'400);
      SendToFabric(flow, kSyn, flow.isn, static_cast<uint32_t>(flow.copies), 0);
    } else if (now >= flow.due_ms && !flow.is_waiting) {
      ++counts_.attempts;
      flow.is_waiting = true;
      flow.started_ms = now;
      flow.delay_ms = 200;
      flow.due_ms = now + 200;
      bool is_long =
          flow.route->name == long_route_ && flow.long_round < long_round_;
      flow.long_round = is_long ? long_round_ : flow.long_round;
      flow.request_bytes = is_long ? kLongRequestBytes : kRequestBytes;
      SendToFabric(flow, kAck, flow.NextSeq(), flow.NextAck(),
                   flow.request_bytes);
    } else if (now >= flow.due_ms) {
      flow.delay_ms = std::min(flow.delay_ms * 2, 1'600.0);
      flow.due_ms = now + flow.delay_ms;
      SendToFabric(flow, kAck, flow.NextSeq(), flow.NextAck(),
                   flow.request_bytes);
    }
    ++it;
  }
}

void Lab::OnCallerPacket(size_t zone) {
  uint8_t buf[2048];
  while (true) {
    auto n = recv(caller_fds_[zone], buf, sizeof buf, 0);
    if (n < kHead) {
      return;
    }
    Head h = Decode(buf);
    auto it = flows_.find({h.dst, h.dport});
    if (it == flows_.end() || it->second->dst != h.src) {
      continue;
    }
    auto& flow = *it->second;
    if ((h.flags & kRst) != 0) {
      bool is_own = h.sum == 0;
      if (is_own) {
        ++(flow.is_open ? counts_.reset : counts_.refused);
      }
      if (flow.owner) {
        auto* sender = is_own ? nullptr : reset_senders_[{h.dst, h.dport}];
        auto held = flow.owner->flows.find({h.dst, h.dport});
        bool was_held =
            held != flow.owner->flows.end() && held->second != flow.isn;
        resets_.push_back({Now(), Now() - flow.opened_ms,
                           Text(h.dst) + ":" + std::to_string(h.dport),
                           flow.route->service, flow.owner->id,
                           sender ? sender->id : "the system",
                           flow.owner->is_running, was_held});
      }
      flows_.erase(it);
      continue;
    }
    bool opens = (h.flags & kSyn) != 0 && !flow.is_open;
    if (opens) {
      ++counts_.opened;
      flow.is_open = true;
      flow.echo = h.echo;
      flow.peer_seq = h.seq;
      for (auto& it : upstreams_) {
        bool is_owner =
            it.flows.contains({h.dst, h.dport}) && InitialSeq(it) == h.seq;
        flow.owner = is_owner ? &it : flow.owner;
      }
      flow.is_waiting = true;
      flow.started_ms = Now();
      flow.due_ms = flow.started_ms + 200;
      SendToFabric(flow, kAck, flow.NextSeq(), flow.NextAck(), kRequestBytes);
      continue;
    }
    bool is_received = h.len == 0 && flow.is_waiting &&
                       h.ack == flow.NextSeq() + flow.request_bytes;
    if (is_received) {
      flow.due_ms = Now() + 1e6;  // Nothing is missing.
    }
    if (h.len > 0 && flow.is_waiting && h.seq == flow.NextAck()) {
      ++counts_.answered;
      ++flow.answers;
      flow.asked_bytes += flow.request_bytes;
      flow.echo = h.echo;
      flow.is_waiting = false;
      flow.due_ms = Now() + flow.route->pause_ms;
      if (!flow.route->has_long_flows) {
        SendToFabric(flow, kFin | kAck, flow.NextSeq(), flow.NextAck(), 0);
        flows_.erase(it);
      }
    }
  }
}

void Lab::OnUpstreamPacket(Upstream& upstream) {
  uint8_t buf[2048];
  while (true) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    auto n = recvfrom(upstream.fd, buf, sizeof buf, 0,
                      reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 8 + kHead) {
      return;
    }
    uint64_t id = 0;
    for (int i = 0; i < 8; ++i) {
      id = id << 8U | buf[i];
    }
    uint64_t own = IdOf(upstream);
    if (!upstream.is_running || (id != 0 && id != own)) {
      continue;
    }
    Head h = Decode(buf + 8);
    Head reply;
    reply.src = h.dst;
    reply.sport = h.dport;
    reply.dst = h.src;
    reply.dport = h.sport;
    reply.echo = h.echo;
    reply.flags = kAck;
    uint32_t isn = InitialSeq(upstream);
    auto key = std::pair(h.src, h.sport);
    auto known = upstream.flows.find(key);
    double delay = 0;
    if ((h.flags & kSyn) != 0) {
      auto flow = flows_.find(key);
      double sent = flow == flows_.end() ? 0 : flow->second->started_ms;
      if (flow != flows_.end() && h.ack > 0) {
        sent += h.ack == 1 ? 200 : 600;
      }
      bool is_new = known == upstream.flows.end() || known->second != h.seq;
      if (is_new) {
        upstream.openings.push_back(
            {sent, Now(), Text(ntohl(from.sin_addr.s_addr))});
      }
      upstream.flows[key] = is_new ? h.seq : known->second;
      upstream.ended_flows.erase(key);
      reply.flags = kSyn | kAck;
      reply.seq = isn;
      reply.ack = h.seq + 1;
    } else if (known == upstream.flows.end()) {
      bool is_ended = upstream.ended_flows.contains(key);
      if (is_ended && (h.flags & kFin) != 0) {
        continue;
      }
      upstream.foreign_packets += is_ended ? 0 : 1;
      reset_senders_[key] = &upstream;
      reply.flags = kRst;
      reply.seq = h.ack;
    } else if ((h.flags & kFin) != 0) {
      upstream.flows.erase(known);
      upstream.ended_flows.insert(key);
      reply.seq = h.ack;
      reply.ack = h.seq + 1;
    } else if (h.len > 0) {
      bool is_first =
          h.seq - known->second < 0x80000000U && h.seq != known->second;
      if (is_first) {
        ++upstream.runs;
        known->second = h.seq;
        auto& free = *std::min_element(std::begin(upstream.slots_free_ms),
                                       std::end(upstream.slots_free_ms));
        free = std::max(free, Now()) + (h.len == kLongRequestBytes
                                            ? upstream.long_work_ms
                                            : upstream.work_ms);
        delay = free - Now();
      }
      if (!is_first) {
        // Every second packet is acknowledged; the answer is under way.
        reply.seq = h.ack;
        reply.ack = h.seq + h.len;
        delayed_.emplace(Now(), Delayed{&upstream, Encode(reply), h.src});
        continue;
      }
      reply.seq = h.ack;
      reply.ack = h.seq + h.len;
      reply.len = kAnswerBytes;
    } else {
      continue;
    }
    delayed_.emplace(Now() + delay, Delayed{&upstream, Encode(reply), h.src});
  }
}

void Lab::Packets() {
  while (!is_over_) {
    std::vector<pollfd> fds;
    {
      std::lock_guard lock(mutex_);
      for (int fd : caller_fds_) {
        fds.push_back({fd, POLLIN, 0});
      }
      for (const auto& it : upstreams_) {
        fds.push_back({it.fd, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), 1);
    std::lock_guard lock(mutex_);
    for (size_t i = 0; i < caller_fds_.size(); ++i) {
      OnCallerPacket(i);
    }
    for (auto& it : upstreams_) {
      OnUpstreamPacket(it);
    }
    double now = Now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
      auto& it = delayed_.begin()->second;
      auto to = At(Text(it.to_ip), kDataPort);
      sendto(it.upstream->fd, it.packet.data(), it.packet.size(), 0,
             reinterpret_cast<sockaddr*>(&to), sizeof to);
      delayed_.erase(delayed_.begin());
    }
    StepFlows(now);
  }
}

}  // namespace lab
