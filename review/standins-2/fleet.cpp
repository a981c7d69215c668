// Processes, settings files and HTTP of the review's stand-ins.

#include "fleet.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int kControlPort = 8166;
constexpr int kReadyPort = 8167;
constexpr int kPacketPort = 8172;
constexpr int kFirstInternalPort = 7720;
constexpr int kRedirects = 2;
constexpr std::chrono::milliseconds kAnswerTime{1000};

int Remaining(Clock::time_point deadline) {
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  return static_cast<int>(std::max<int64_t>(0, left.count()));
}

bool Wait(int fd, short events, Clock::time_point deadline) {
  pollfd it{fd, events, 0};
  return ::poll(&it, 1, Remaining(deadline)) == 1;
}

// Reads a response with a Content-Length; returns status 0 if it is cut short.
Answer ReadAnswer(int fd, Clock::time_point deadline) {
  std::string bytes;
  size_t head = std::string::npos;
  size_t length = 0;
  char buf[65536];
  while (true) {
    if (head != std::string::npos && bytes.size() >= head + 4 + length) {
      break;
    }
    if (!Wait(fd, POLLIN, deadline)) {
      return {};
    }
    auto n = ::recv(fd, buf, sizeof(buf), 0);
    if (n <= 0) {
      return {};
    }
    bytes.append(buf, static_cast<size_t>(n));
    if (head == std::string::npos) {
      head = bytes.find("\r\n\r\n");
      if (head == std::string::npos) {
        continue;
      }
      auto at = bytes.find("Content-Length: ");
      if (at != std::string::npos && at < head) {
        length = std::strtoul(bytes.c_str() + at + 16, nullptr, 10);
      }
    }
  }
  Answer answer;
  answer.status = std::atoi(bytes.c_str() + 9);
  answer.body = bytes.substr(head + 4, length);
  auto at = bytes.find("Location: ");
  if (at != std::string::npos && at < head) {
    answer.location = bytes.substr(at + 10, bytes.find("\r\n", at) - at - 10);
  }
  return answer;
}

void Replace(std::string& text, const std::string& from,
             const std::string& to) {
  for (size_t at = 0; (at = text.find(from, at)) != std::string::npos;) {
    text.replace(at, from.size(), to);
    at += to.size();
  }
}

// Renders or removes a section of a template.
void Section(std::string& text, const std::string& open, bool keep) {
  const std::string close = "{{/bootstrap}}";
  auto begin = text.find(open);
  if (begin == std::string::npos) {
    return;
  }
  auto end = text.find(close, begin);
  std::string inner = text.substr(begin + open.size(),
                                  end - begin - open.size());
  text.replace(begin, end + close.size() - begin, keep ? inner : "");
}

}  // namespace

Answer Fetch(const std::string& endpoint, const std::string& method,
             const std::string& path, const std::string& body,
             std::chrono::milliseconds timeout) {
  auto deadline = Clock::now() + timeout;
  auto colon = endpoint.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::atoi(endpoint.c_str() + colon + 1)));
  ::inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &to.sin_addr);
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Answer answer;
  int result = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  int error = 0;
  socklen_t size = sizeof(error);
  bool is_open = result == 0 || (errno == EINPROGRESS &&
                                 Wait(fd, POLLOUT, deadline));
  ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (is_open && error == 0) {
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " +
                          endpoint + "\r\nContent-Type: application/json\r\n" +
                          "Content-Length: " + std::to_string(body.size()) +
                          "\r\nConnection: close\r\n\r\n" + body;
    size_t sent = 0;
    while (sent < request.size() && Wait(fd, POLLOUT, deadline)) {
      auto n = ::send(fd, request.data() + sent, request.size() - sent,
                      MSG_NOSIGNAL);
      if (n <= 0 && errno != EAGAIN) {
        break;
      }
      sent += n > 0 ? static_cast<size_t>(n) : 0;
    }
    answer = ReadAnswer(fd, deadline);
  }
  ::close(fd);
  return answer;
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_) {
    std::fclose(file_);
  }
}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Line(const std::string& text) {
  std::printf("%8.3f %s\n", Seconds(), text.c_str());
  std::fflush(stdout);
  if (file_) {
    std::fprintf(file_, "%8.3f %s\n", Seconds(), text.c_str());
    std::fflush(file_);
  }
}

Fleet::Fleet(FleetOptions options, Record& record)
    : options_(std::move(options)), record_(record) {
  std::filesystem::create_directories(options_.folder);
}

Fleet::~Fleet() {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    Kill(static_cast<int>(i));
  }
}

int Fleet::Add(bool is_control, const std::string& zone) {
  int index = static_cast<int>(hosts_.size());
  Host host;
  host.is_control = is_control;
  host.zone = zone;
  host.name = (is_control ? "core-" : "edge-") + zone + "-" +
              std::to_string(index);
  host.address = "127." + std::to_string(options_.network) + ".0." +
                 std::to_string(index + 10);
  hosts_.push_back(host);
  return index;
}

int Fleet::AddLate(bool is_control, const std::string& zone) {
  int index = Add(is_control, zone);
  hosts_[index].bootstrap = false;
  return index;
}

void Fleet::SetSeeds() {
  for (size_t i = 0; i < hosts_.size() && seeds_.size() < 3; ++i) {
    if (hosts_[i].is_control) {
      seeds_.push_back(ControlEndpoint(static_cast<int>(i)));
    }
  }
}

std::string Fleet::ControlEndpoint(int host) const {
  return hosts_[host].address + ":" + std::to_string(kControlPort);
}

std::string Fleet::ReadyEndpoint(int host) const {
  return hosts_[host].address + ":" + std::to_string(kReadyPort);
}

// Fills in the project's template as the platform does.
std::string Fleet::Fill(const Host& host) const {
  std::ifstream in(options_.template_folder +
                   (host.is_control ? "/control.yaml.tmpl"
                                    : "/entry.yaml.tmpl"));
  std::stringstream whole;
  whole << in.rdbuf();
  std::string text = whole.str();
  auto begin = text.find("{{#seeds}}");
  auto end = text.find("{{/seeds}}");
  if (begin != std::string::npos && end != std::string::npos) {
    std::string inner = text.substr(begin + 10, end - begin - 10);
    std::string all;
    for (const auto& seed : seeds_) {
      std::string one = inner;
      Replace(one, "{{.}}", seed);
      all += one;
    }
    text.replace(begin, end + 10 - begin, all);
  }
  Section(text, "{{#bootstrap}}", host.bootstrap);
  Section(text, "{{^bootstrap}}", !host.bootstrap);
  Replace(text, "{{nodeName}}", host.name);
  Replace(text, "{{zone}}", host.zone);
  Replace(text, "{{ip}}", host.address);
  Replace(text, "{{internalPorts.0}}", std::to_string(kFirstInternalPort));
  Replace(text, "{{listen.control}}",
          host.address + ":" + std::to_string(kControlPort));
  Replace(text, "{{listen.ready}}",
          host.address + ":" + std::to_string(kReadyPort));
  Replace(text, "{{listen.dataAddr}}",
          host.address + ":" + std::to_string(kPacketPort));
  Replace(text, "{{dataDir}}", options_.folder + "/disk-" + host.name);
  Replace(text, "{{heartbeatMs}}", std::to_string(options_.heartbeat_ms));
  Replace(text, "{{bounds.graceS}}", "6");
  Replace(text, "{{limits.linkMbps}}", options_.link_mbps);
  return text;
}

void Fleet::Start(int index) {
  auto& host = hosts_[index];
  std::string settings = options_.folder + "/" + host.name + ".yaml";
  std::ofstream(settings) << Fill(host);
  if (host.is_control) {
    std::filesystem::create_directories(options_.folder + "/disk-" + host.name);
  }
  std::string log = options_.folder + "/" + host.name + ".log";
  std::string variable = "ACACIAHOLD_CONFIG=" + settings;
  pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = {path.data(), variable.data(), nullptr};
    std::string run = "run";
    char* arguments[] = {options_.binary.data(), run.data(), nullptr};
    ::execve(options_.binary.c_str(), arguments, environment);
    ::_exit(127);
  }
  host.pid = pid;
  record_.Line("start " + host.name + " bootstrap=" +
               (host.bootstrap ? "true" : "false"));
}

void Fleet::Signal(int index, int number) {
  if (hosts_[index].pid > 0) {
    ::kill(hosts_[index].pid, number);
  }
}

void Fleet::Kill(int index) {
  auto& host = hosts_[index];
  if (host.pid > 0) {
    ::kill(host.pid, SIGKILL);
    ::waitpid(host.pid, nullptr, 0);
    host.pid = -1;
    record_.Line("kill " + host.name);
  }
  // Only the first start of the whole system is a bootstrap.
  host.bootstrap = false;
}

void Fleet::WipeDisk(int index) {
  auto& host = hosts_[index];
  std::filesystem::remove_all(options_.folder + "/disk-" + host.name);
  record_.Line("disk lost " + host.name);
}

bool Fleet::HasEnded(int index) {
  auto& host = hosts_[index];
  if (host.pid > 0 && ::waitpid(host.pid, nullptr, WNOHANG) == host.pid) {
    host.pid = -1;
    return true;
  }
  return host.pid <= 0;
}

Answer Operator::Call(const std::string& endpoint, const std::string& method,
                      const std::string& path, const std::string& body,
                      std::string* by) {
  std::string at = endpoint;
  Answer answer;
  for (int i = 0; i <= kRedirects; ++i) {
    answer = Fetch(at, method, path, body, kAnswerTime);
    if (answer.status != 307) {
      break;
    }
    std::string rest = answer.location.substr(std::strlen("http://"));
    at = rest.substr(0, rest.find('/'));
  }
  if (by) {
    *by = at;
  }
  return answer;
}

int Operator::Put(const std::string& config, Clock::time_point deadline,
                  std::string* by) {
  int status = 0;
  std::string at;
  while (Clock::now() < deadline) {
    int host = hosts_[next_++ % hosts_.size()];
    status = Call(fleet_.ControlEndpoint(host), "PUT", "/-/config", config,
                  &at).status;
    if (status == 200 || (status >= 400 && status < 500)) {
      break;
    }
    SleepMs(100);
  }
  if (by) {
    *by = at;
  }
  record_.Line("PUT config version " + std::to_string(VersionOf(config)) +
               " -> " + std::to_string(status) + " by " + at);
  return status;
}

Answer Operator::Get(int host) {
  return Call(fleet_.ControlEndpoint(host), "GET", "/-/config", "", nullptr);
}

std::string MakeConfig(uint64_t version, int routes) {
  std::string text = "{\"version\":" + std::to_string(version) +
                     ",\"routes\":[";
  for (int i = 0; i < routes; ++i) {
    text += i > 0 ? "," : "";
    text += "{\"name\":\"r-" + std::to_string(100000 + i) +
            "\",\"host\":\"198.18." + std::to_string(i / 250) + "." +
            std::to_string(i % 250 + 1) +
            "\",\"prefix\":\"/8443/\",\"kind\":\"safe\",\"timeoutMs\":1500,"
            "\"goalMs\":250,\"priority\":2,\"service\":\"huvo11a\","
            "\"attempts\":2}";
  }
  return text +
         "],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\","
         "\"maxConns\":2000,\"proto\":\"h1\",\"tls\":false,\"warmupS\":2.0,"
         "\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000}}";
}

uint64_t VersionOf(const std::string& config) {
  auto at = config.find("\"version\":");
  return at == std::string::npos
             ? 0
             : std::strtoull(config.c_str() + at + 10, nullptr, 10);
}

std::string Variable(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value ? value : fallback;
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int FreeNetwork() {
  constexpr int kFirst = 40;
  constexpr int kNetworks = 160;
  for (int i = 0; i < kNetworks; ++i) {
    int network = kFirst + (::getpid() + i) % kNetworks;
    std::string address = "127." + std::to_string(network) + ".0.10";
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(kControlPort);
    ::inet_pton(AF_INET, address.c_str(), &at.sin_addr);
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    bool is_free =
        ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
    ::close(fd);
    if (is_free) {
      return network;
    }
  }
  return kFirst;
}

}  // namespace review
