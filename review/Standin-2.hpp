/// @file Stand-ins for the cases 6 to 10: the platform's store, servers, clients, and the processes under test.
/// Everything listens on 127.0.0.1, on ports that are free.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline void
SleepMs(int64_t aMillis)
{
  std::this_thread::sleep_for(Millis(aMillis));
}

/// Whether the case's disruption is to happen: not with TROUBLE=0.
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// What was sent, answered and run, one line each, with the milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(std::fopen(aPath.c_str(), "w"))
  {
  }
  ~Record()
  {
    if (this->file != nullptr) {
      std::fclose(this->file);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  int64_t Now() const
  {
    return std::chrono::duration_cast<Millis>(Clock::now() - this->start).count();
  }
  int64_t At(Instant aTime) const
  {
    return std::chrono::duration_cast<Millis>(aTime - this->start).count();
  }

  __attribute__((format(printf, 2, 3))) void Line(const char* aFormat, ...)
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    std::lock_guard guard(this->lock);
    if (this->file != nullptr) {
      std::fprintf(this->file, "%6lld %s\n", static_cast<long long>(this->Now()), text);
      std::fflush(this->file);
    }
  }

  /// A line of the result, also on standard output.
  __attribute__((format(printf, 2, 3))) void Say(const char* aFormat, ...)
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    std::printf("%s\n", text);
    std::fflush(stdout);
    this->Line("%s", text);
  }

private:
  Instant start = Clock::now();
  std::mutex lock;
  std::FILE* file;
};

/// An HTTP message as it was received.
struct Message
{
  std::string first;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// The header was complete but the body was not.
  bool incomplete = false;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : this->headers) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& aName) const
  {
    return std::any_of(this->headers.begin(), this->headers.end(), [&](const auto& aHeader) {
      return strcasecmp(aHeader.first.c_str(), aName.c_str()) == 0;
    });
  }
  int Status() const
  {
    return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
  }
  std::string Method() const { return this->first.substr(0, this->first.find(' ')); }
  std::string Target() const
  {
    size_t start = this->first.find(' ');
    size_t end = this->first.find(' ', start + 1);
    return start == std::string::npos ? "" : this->first.substr(start + 1, end - start - 1);
  }
};

/// A TCP connection with blocking calls that end at a time.
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : fd(aFd)
  {
  }
  ~Socket() { this->Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Connect(uint16_t aPort, int aTimeoutMs = 1000)
  {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int flags = fcntl(this->fd, F_GETFL);
    fcntl(this->fd, F_SETFL, flags | O_NONBLOCK);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      pollfd waiting{ this->fd, POLLOUT, 0 };
      int error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS || poll(&waiting, 1, aTimeoutMs) != 1 ||
          getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        this->Close();
        return false;
      }
    }
    fcntl(this->fd, F_SETFL, flags);
    int on = 1;
    setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }

  bool Send(const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      ssize_t count = send(this->fd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  /// Receives a request or a response; empty at the end of the stream, on an error or at the time.
  std::optional<Message> Receive(Instant aUntil, bool aIsResponse)
  {
    size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, message.first);
    Strip(message.first);
    while (std::getline(head, line)) {
      Strip(line);
      size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = line.find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
      }
    }
    message.incomplete = !this->ReceiveBody(message, aUntil, aIsResponse);
    return message;
  }

  /// Whether the peer closed or reset the connection while nothing is being received.
  bool IsClosedByPeer(int aWaitMs)
  {
    pollfd waiting{ this->fd, POLLIN, 0 };
    char byte = 0;
    return poll(&waiting, 1, aWaitMs) == 1 &&
           recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }

  /// Closes with a reset.
  void Reset()
  {
    linger hard{ 1, 0 };
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    this->Close();
  }
  void Close()
  {
    if (this->fd >= 0) {
      close(this->fd);
      this->fd = -1;
    }
  }
  /// Ends calls in progress; may be called from another thread.
  void Shutdown()
  {
    if (this->fd >= 0) {
      shutdown(this->fd, SHUT_RDWR);
    }
  }
  bool IsOpen() const { return this->fd >= 0; }
  int Fd() const { return this->fd; }

private:
  static void Strip(std::string& aLine)
  {
    while (!aLine.empty() && (aLine.back() == '\r' || aLine.back() == ' ')) {
      aLine.pop_back();
    }
  }

  bool Fill(Instant aUntil)
  {
    auto left = std::chrono::duration_cast<Millis>(aUntil - Clock::now()).count();
    pollfd waiting{ this->fd, POLLIN, 0 };
    if (this->fd < 0 || left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[16384];
    ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  bool ReceiveBody(Message& aMessage, Instant aUntil, bool aIsResponse)
  {
    if (strcasecmp(aMessage.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      return this->ReceiveChunks(aMessage, aUntil);
    }
    if (!aMessage.Has("Content-Length")) {
      while (aIsResponse && this->Fill(aUntil)) {
      }
      if (aIsResponse) {
        aMessage.body = std::exchange(this->buffer, "");
      }
      return true;
    }
    size_t length = std::strtoull(aMessage.Header("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
      if (!this->Fill(aUntil)) {
        return false;
      }
    }
    aMessage.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return true;
  }

  bool ReceiveChunks(Message& aMessage, Instant aUntil)
  {
    while (true) {
      size_t end = 0;
      while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->Fill(aUntil)) {
          return false;
        }
      }
      size_t length = std::strtoull(this->buffer.c_str(), nullptr, 16);
      while (this->buffer.size() < end + 2 + length + 2) {
        if (!this->Fill(aUntil)) {
          return false;
        }
      }
      aMessage.body += this->buffer.substr(end + 2, length);
      this->buffer.erase(0, end + 2 + length + 2);
      if (length == 0) {
        return true;
      }
    }
  }

  int fd;
  std::string buffer;
};

inline std::string
Response(int aStatus,
         const std::vector<std::pair<std::string, std::string>>& aHeaders,
         const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Accepts connections on a loopback port, each with a thread of its own.
class Listener
{
public:
  /// Handles a request; returns whether the connection stays open.
  using Handler = std::function<bool(Socket&, const Message&)>;

  explicit Listener(Handler aHandler, uint16_t aPort = 0)
    : handler(std::move(aHandler))
    , wantedPort(aPort)
  {
    this->Open();
  }
  ~Listener() { this->Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  uint16_t Port() const { return this->port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

  /// Ends like a process that exits: its port refuses connections, and open ones are reset.
  void Stop()
  {
    if (this->fd < 0) {
      return;
    }
    this->stopping = true;
    shutdown(this->fd, SHUT_RDWR);
    this->acceptor.join();
    close(this->fd);
    this->fd = -1;
    {
      std::lock_guard guard(this->lock);
      for (const auto& connection : this->connections) {
        connection->Shutdown();
      }
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    this->connections.clear();
  }
  /// Listens again on the same port.
  void Restart()
  {
    this->wantedPort = this->port;
    this->Open();
  }
  bool IsRunning() const { return this->fd >= 0; }
  bool IsStopping() const { return this->stopping; }

private:
  void Open()
  {
    this->stopping = false;
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->wantedPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(this->fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(this->fd, 512) != 0 ||
        getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::perror("listen");
      std::exit(kCannotRun);
    }
    this->port = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  void Accept()
  {
    while (!this->stopping) {
      int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        if (this->stopping) {
          return;
        }
        continue;
      }
      int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto connection = std::make_shared<Socket>(accepted);
      std::lock_guard guard(this->lock);
      this->connections.push_back(connection);
      this->threads.emplace_back([this, connection] { this->Serve(*connection); });
    }
  }

  void Serve(Socket& aConnection)
  {
    while (!this->stopping) {
      auto request = aConnection.Receive(Clock::now() + std::chrono::minutes(5), false);
      if (!request || request->incomplete || !this->handler(aConnection, *request)) {
        break;
      }
    }
    std::lock_guard guard(this->lock);
    aConnection.Close();
  }

  Handler handler;
  uint16_t wantedPort;
  int fd = -1;
  uint16_t port = 0;
  std::atomic<bool> stopping{ false };
  std::thread acceptor;
  std::mutex lock;
  std::vector<std::shared_ptr<Socket>> connections;
  std::vector<std::thread> threads;
};

inline std::string
Decode(const std::string& aText)
{
  std::string decoded;
  for (size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      decoded += static_cast<char>(std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      decoded += aText[at];
    }
  }
  return decoded;
}

inline std::string
Quote(const std::string& aText)
{
  return Json::valueToQuotedString(aText.c_str());
}

/// The platform's store, as the pages describe it: lists in pages of 500 objects or 1 MB, watches, conditional
/// writes. The text of a spec is kept and returned byte for byte.
class Store
{
public:
  explicit Store(Record& aRecord)
    : record(aRecord)
    , listener([this](Socket& aSocket, const Message& aRequest) {
      return this->Handle(aSocket, aRequest);
    })
  {
  }
  ~Store()
  {
    {
      std::lock_guard guard(this->lock);
      this->stopping = true;
    }
    this->changed.notify_all();
    this->listener.Stop();
  }

  std::string Address() const { return this->listener.Address(); }

  /// A write of a server, an operator or another writer; the return is the acknowledgement.
  void Put(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    std::lock_guard guard(this->lock);
    this->Change(aKind, aName, &aSpec);
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard guard(this->lock);
    this->Change(aKind, aName, nullptr);
  }
  size_t Count(const std::string& aKind)
  {
    std::lock_guard guard(this->lock);
    return this->objects[aKind].size();
  }

private:
  struct Object
  {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Event
  {
    uint64_t revision = 0;
    std::string text;
  };
  static constexpr size_t kPageItems = 500;
  static constexpr size_t kPageBytes = 1'000'000;

  static std::string Text(const std::string& aName, const Object& aObject)
  {
    return "{\"meta\":{\"name\":" + Quote(aName) +
           ",\"revision\":" + std::to_string(aObject.revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.spec +
           ",\"status\":{}}";
  }

  void Change(const std::string& aKind, const std::string& aName, const std::string* aSpec)
  {
    auto& kind = this->objects[aKind];
    auto known = kind.find(aName);
    if (aSpec == nullptr) {
      if (known == kind.end()) {
        return;
      }
      ++this->revision;
      this->events[aKind].push_back(
        { this->revision, "{\"removed\":true,\"object\":" + Text(aName, known->second) + "}" });
      kind.erase(known);
    } else {
      if (known != kind.end() && known->second.spec == *aSpec) {
        return;
      }
      Object& object = kind[aName];
      object = { ++this->revision, *aSpec };
      this->events[aKind].push_back(
        { this->revision, "{\"removed\":false,\"object\":" + Text(aName, object) + "}" });
    }
    this->changed.notify_all();
  }

  static std::string Parameter(const std::string& aQuery, const std::string& aName)
  {
    std::string text = "&" + aQuery;
    size_t at = text.find("&" + aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    at += aName.size() + 2;
    return Decode(text.substr(at, text.find('&', at) - at));
  }

  bool Handle(Socket& aSocket, const Message& aRequest)
  {
    if (std::count(aRequest.first.begin(), aRequest.first.end(), ' ') != 2) {
      this->record.Line("store: no request line: %s", aRequest.first.c_str());
      aSocket.Send(Response(400, { { "Connection", "close" } }, "{}"));
      return false;
    }
    std::string target = aRequest.Target();
    size_t mark = target.find('?');
    std::string path = target.substr(0, mark);
    std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    const std::string root = "/objects/";
    if (path.compare(0, root.size(), root) != 0) {
      return aSocket.Send(Response(404, {}, "{}"));
    }
    path = path.substr(root.size());
    std::string kind = path.substr(0, path.find('/'));
    std::string name =
      path.find('/') == std::string::npos ? "" : Decode(path.substr(path.find('/') + 1));
    std::string answer;
    if (aRequest.Method() != "GET") {
      answer = this->Write(aRequest, kind, name);
    } else if (std::string from = Parameter(query, "watch"); !from.empty()) {
      answer = this->Watch(kind,
                           std::strtoull(from.c_str(), nullptr, 10),
                           std::atoi(Parameter(query, "wait_ms").c_str()));
    } else {
      answer = this->List(kind, Parameter(query, "after"));
    }
    return aSocket.Send(answer);
  }

  std::string List(const std::string& aKind, const std::string& aAfter)
  {
    std::lock_guard guard(this->lock);
    std::string items;
    size_t count = 0;
    bool more = false;
    auto& kind = this->objects[aKind];
    for (auto object = kind.upper_bound(aAfter); object != kind.end(); ++object) {
      std::string text = Text(object->first, object->second);
      if (count == kPageItems || (count > 0 && items.size() + text.size() > kPageBytes)) {
        more = true;
        break;
      }
      items += (count++ > 0 ? "," : "") + text;
    }
    return Response(200,
                    { { "Content-Type", "application/json" } },
                    "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false") +
                      ",\"current_rev\":" + std::to_string(this->revision) + "}");
  }

  std::string Watch(const std::string& aKind, uint64_t aFrom, int aWaitMs)
  {
    std::unique_lock guard(this->lock);
    auto hasEvent = [&] {
      auto& events = this->events[aKind];
      return this->stopping || (!events.empty() && events.back().revision > aFrom);
    };
    this->changed.wait_for(guard, Millis(aWaitMs), hasEvent);
    std::string events;
    for (const Event& event : this->events[aKind]) {
      if (event.revision > aFrom) {
        events += (events.empty() ? "" : ",") + event.text;
      }
    }
    return Response(200,
                    { { "Content-Type", "application/json" } },
                    "{\"events\":[" + events +
                      "],\"current_rev\":" + std::to_string(this->revision) + "}");
  }

  std::string Write(const Message& aRequest, const std::string& aKind, const std::string& aName)
  {
    std::lock_guard guard(this->lock);
    auto& kind = this->objects[aKind];
    if (aRequest.Method() == "DELETE") {
      bool exists = kind.count(aName) > 0;
      this->Change(aKind, aName, nullptr);
      return Response(exists ? 200 : 404, {}, "{}");
    }
    Json::Value body;
    std::istringstream text(aRequest.body);
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), text, &body, &errors)) {
      return Response(400, {}, "{}");
    }
    bool creates = aRequest.Method() == "POST";
    std::string name = creates ? body["meta"]["name"].asString() : aName;
    bool exists = kind.count(name) > 0;
    if (creates == exists) {
      return Response(creates ? 409 : 404, {}, exists ? Text(name, kind[name]) : "{}");
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    std::string spec = Json::writeString(writer, body["spec"]);
    this->Change(aKind, name, &spec);
    return Response(200, {}, Text(name, kind[name]));
  }

  Record& record;
  std::mutex lock;
  std::condition_variable changed;
  bool stopping = false;
  uint64_t revision = 1;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::map<std::string, std::deque<Event>> events;
  Listener listener;
};

/// One server. It runs what names it as the target, and records each run.
class Server
{
public:
  struct Run
  {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    Instant at{};
  };
  /// What a server does in place of the usual answer; returns whether it took the request over. The second
  /// argument of the result says whether the connection stays open.
  using Hook = std::function<std::optional<bool>(Server&, Socket&, const Message&)>;

  Server(Record& aRecord, std::string aId, std::string aService, std::string aZone)
    : id(std::move(aId))
    , service(std::move(aService))
    , zone(std::move(aZone))
    , record(aRecord)
    , listener([this](Socket& aSocket, const Message& aRequest) {
      return this->Handle(aSocket, aRequest);
    })
  {
  }

  const std::string& Id() const { return this->id; }
  /// Precondition: the process is not running.
  void SetId(const std::string& aId) { this->id = aId; }
  const std::string& Service() const { return this->service; }
  Listener& Process() { return this->listener; }

  /// The entry of this server in the store.
  std::string Spec() const
  {
    return "{\"service\":" + Quote(this->service) + ",\"address\":" +
           Quote(this->listener.Address()) + ",\"zone\":" + Quote(this->zone) +
           ",\"version\":\"2.4.1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":" +
           (this->leaving ? "\"draining\"" : "\"ready\"") +
           ",\"cold_remaining_ms\":0,\"seq\":" + std::to_string(this->leaving ? 2 : 1) +
           ",\"born\":" + std::to_string(this->born) + "}";
  }
  void Register(Store& aStore) { aStore.Put("servers", this->id, this->Spec()); }
  /// Reports draining and says so in all answers; returns when the store has accepted the report.
  Instant Drain(Store& aStore)
  {
    this->leaving = true;
    this->Register(aStore);
    return Clock::now();
  }

  std::vector<Run> Runs() const
  {
    std::lock_guard guard(this->lock);
    return this->runs;
  }
  void SetHook(Hook aHook)
  {
    std::lock_guard guard(this->lock);
    this->hook = std::move(aHook);
  }
  void NoteRun(const Message& aRequest)
  {
    std::lock_guard guard(this->lock);
    this->runs.push_back({ aRequest.Header("Sapphirewind-Request-Id"),
                           aRequest.Method(),
                           aRequest.Target(),
                           aRequest.body,
                           Clock::now() });
    this->record.Line("%s runs %s %s",
                      this->id.c_str(),
                      this->runs.back().id.c_str(),
                      this->runs.back().target.c_str());
  }
  std::vector<std::pair<std::string, std::string>> Headers(const Message& aRequest) const
  {
    std::vector<std::pair<std::string, std::string>> headers = {
      { "Sapphirewind-Request-Id", aRequest.Header("Sapphirewind-Request-Id") },
      { "Sapphirewind-Server-Stamp", this->Stamp(aRequest) },
      { "Sapphirewind-Server-Load", "0,0," + std::to_string(this->slots) }
    };
    if (this->leaving) {
      headers.push_back({ "Server-Leaving", "1" });
      headers.push_back({ "Connection", "close" });
    } else {
      headers.push_back({ "Keep-Alive", "timeout=5" });
    }
    return headers;
  }
  std::string Stamp(const Message& aRequest) const
  {
    return this->service + "." + this->id + "." + aRequest.Header("Sapphirewind-Request-Id");
  }
  /// 16-byte records of this service for a target.
  std::string Body(const Message& aRequest) const
  {
    std::string body;
    for (int number = 0; number < 6; ++number) {
      char text[32];
      size_t mix = std::hash<std::string>()(this->service + aRequest.Target()) + 77777u * number;
      std::snprintf(text, sizeof text, "%016zx", mix);
      body += std::string(text, 16);
    }
    return body;
  }

  std::atomic<bool> leaving{ false };
  std::atomic<int> workMs{ 5 };
  int slots = 3;
  int64_t born = std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();

private:
  bool Handle(Socket& aSocket, const Message& aRequest)
  {
    std::string target = aRequest.Header("Sapphirewind-Target-Instance");
    if (!target.empty() && target != this->id) {
      return aSocket.Send(Response(421,
                                   { { "Sapphirewind-Request-Id",
                                       aRequest.Header("Sapphirewind-Request-Id") },
                                     { "Sapphirewind-Not-Executed", "1" } },
                                   ""));
    }
    Hook current;
    {
      std::lock_guard guard(this->lock);
      current = this->hook;
    }
    if (current) {
      if (std::optional<bool> taken = current(*this, aSocket, aRequest)) {
        return *taken;
      }
    }
    this->NoteRun(aRequest);
    SleepMs(this->workMs);
    bool stays = !this->leaving;
    return aSocket.Send(Response(200, this->Headers(aRequest), this->Body(aRequest))) && stays;
  }

  std::string id;
  std::string service;
  std::string zone;
  Record& record;
  mutable std::mutex lock;
  Hook hook;
  std::vector<Run> runs;
  Listener listener;
};

/// A server whose process ends when it has begun to run a certain request. It starts again after some seconds.
class CrashingServer
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone;
    /// The target of the request that crashes it.
    std::string crashTarget;
    /// How long it works on that request until it crashes; it drops the request if its connection closes before.
    int crashAfterMs = 0;
    /// It starts again under its id, or under a new one.
    bool keepsId = false;
  };
  /// Its entry is removed after three heartbeats of 1,200 ms without one.
  static constexpr int kSilenceMs = 3600;
  static constexpr int kBackAfterMs = 3900;

  CrashingServer(Record& aRecord, Store& aStore, Options aOptions)
    : record(aRecord)
    , store(aStore)
    , options(std::move(aOptions))
    , server(aRecord, this->options.id, this->options.service, this->options.zone)
  {
    this->server.workMs = 400;
    this->server.Register(aStore);
    if (HasTrouble()) {
      this->server.SetHook([this](Server& aServer, Socket& aSocket, const Message& aRequest) {
        return this->CrashOn(aServer, aSocket, aRequest);
      });
    }
    this->keeper = std::thread([this] { this->Keep(); });
  }
  ~CrashingServer()
  {
    this->ends = true;
    this->keeper.join();
  }
  CrashingServer(const CrashingServer&) = delete;
  CrashingServer& operator=(const CrashingServer&) = delete;

  std::vector<Instant> Crashes() const
  {
    std::lock_guard guard(this->lock);
    return this->crashes;
  }
  const Server& Process() const { return this->server; }

private:
  std::optional<bool> CrashOn(Server& aServer, Socket& aSocket, const Message& aRequest)
  {
    if (aRequest.Target() != this->options.crashTarget) {
      return std::nullopt;
    }
    aServer.NoteRun(aRequest);
    if (this->options.crashAfterMs > 0 && aSocket.IsClosedByPeer(this->options.crashAfterMs)) {
      this->record.Line("%s drops it: its connection is closed", aServer.Id().c_str());
      return false;
    }
    this->crashed = true;
    while (!aServer.Process().IsStopping()) {
      SleepMs(1);
    }
    return false;
  }

  void Keep()
  {
    for (int start = 2; !this->ends; ++start) {
      while (!this->crashed && !this->ends) {
        SleepMs(1);
      }
      if (this->ends) {
        return;
      }
      this->record.Line("%s crashes", this->server.Id().c_str());
      {
        std::lock_guard guard(this->lock);
        this->crashes.push_back(Clock::now());
      }
      this->server.Process().Stop();
      Instant from = Clock::now();
      this->Await(from + Millis(kSilenceMs));
      this->store.Remove("servers", this->server.Id());
      this->Await(from + Millis(kBackAfterMs));
      if (!this->options.keepsId) {
        this->server.SetId(this->options.id + "-" + std::to_string(start));
      }
      this->server.born += kBackAfterMs;
      this->crashed = false;
      this->server.Process().Restart();
      this->server.Register(this->store);
      this->record.Line("%s is back", this->server.Id().c_str());
    }
  }
  void Await(Instant aTime) const
  {
    while (!this->ends && Clock::now() < aTime) {
      SleepMs(5);
    }
  }

  Record& record;
  Store& store;
  Options options;
  mutable std::mutex lock;
  std::vector<Instant> crashes;
  Server server;
  std::atomic<bool> crashed{ false };
  std::atomic<bool> ends{ false };
  std::thread keeper;
};

/// A port that was free a moment ago, below the usual range of outgoing connections.
inline uint16_t
FreePort()
{
  static std::atomic<unsigned> next{ static_cast<unsigned>(getpid()) * 37u };
  for (int tries = 0; tries < 20'000; ++tries) {
    auto port = static_cast<uint16_t>(12'000 + (next++ % 18'000));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (isFree) {
      return port;
    }
  }
  std::exit(kCannotRun);
}

/// A process of the program under test, with settings as the platform makes them from the template for a small
/// deployment.
class Instance
{
public:
  struct Options
  {
    std::string program;
    std::string folder;
    std::string node;
    std::string zone;
    std::string store;
    /// Zones with their regions, as JSON.
    std::string zones = R"({"z1":"r1","z2":"r2","z3":"r3"})";
  };

  explicit Instance(Options aOptions)
    : options(std::move(aOptions))
    , front(FreePort())
    , ready(FreePort())
    , metrics(FreePort())
    , peers(FreePort())
  {
  }
  ~Instance() { this->Kill(); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  void Start(bool aFirst)
  {
    std::string settings = this->options.folder + "/" + this->options.node + ".json";
    auto address = [](uint16_t aPort) { return Quote("127.0.0.1:" + std::to_string(aPort)); };
    std::ofstream(settings) << "{\"instance\":" << Quote(this->options.node)
                            << ",\"zone\":" << Quote(this->options.zone)
                            << ",\"regions\":" << this->options.zones
                            << ",\"listen_callers\":" << address(this->front)
                            << ",\"listen_status\":" << address(this->ready)
                            << ",\"listen_metrics\":" << address(this->metrics)
                            << ",\"listen_peers\":" << address(this->peers)
                            << ",\"store\":" << Quote(this->options.store)
                            << ",\"first_start\":" << (aFirst ? "true" : "false")
                            << ",\"max_descriptors\":4100,\"extra_share\":0.2"
                            << ",\"extra_minimum\":52,\"extra_window\":\"10s\""
                            << ",\"stability_window\":\"5000ms\",\"drain\":\"4000ms\""
                            << ",\"stop_within\":\"6s\"}\n";
    std::string log = this->options.folder + "/" + this->options.node + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("SAPPHIREWIND_CONFIG", settings.c_str(), 1);
      execl(this->options.program.c_str(), this->options.program.c_str(), nullptr);
      _exit(127);
    }
  }
  void Signal(int aSignal)
  {
    if (this->pid > 0) {
      kill(this->pid, aSignal);
    }
  }
  void Kill()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = 0;
    }
  }
  /// Waits for the process to end; returns whether it did.
  bool AwaitExit(int aMs)
  {
    for (int waited = 0; waited < aMs; waited += 20) {
      if (this->pid <= 0 || waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->pid = 0;
        return true;
      }
      SleepMs(20);
    }
    return false;
  }
  bool IsReady() const
  {
    Socket socket;
    if (!socket.Connect(this->ready)) {
      return false;
    }
    socket.Send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    auto answer = socket.Receive(Clock::now() + Millis(1000), true);
    return answer && answer->Status() == 200;
  }
  bool AwaitReady(int aMs) const
  {
    for (int waited = 0; waited < aMs; waited += 50) {
      if (this->IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }
  uint16_t Front() const { return this->front; }
  uint16_t Metrics() const { return this->metrics; }
  const std::string& Node() const { return this->options.node; }
  pid_t Pid() const { return this->pid; }

private:
  Options options;
  uint16_t front;
  uint16_t ready;
  uint16_t metrics;
  uint16_t peers;
  pid_t pid = 0;
};

/// A request of a client and what came of it.
struct Sent
{
  std::string id;
  std::string target;
  Instant at{};
  /// 0: the connection ended, or nothing came, without a complete answer.
  int status = 0;
  Message answer;
};

inline std::string
NewId()
{
  static std::atomic<unsigned> number{ 0 };
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), number++);
  return text;
}

inline std::string
RequestText(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: desk.example\r\n" +
                     "Sapphirewind-Request-Id: " + aId +
                     "\r\nSapphirewind-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// Sends a request on an open connection and awaits the answer.
inline Sent
Exchange(Record& aRecord,
         Socket& aSocket,
         const std::string& aMethod,
         const std::string& aTarget,
         int aDeadlineMs = 2000,
         const std::string& aBody = "")
{
  Sent sent{ .id = NewId(), .target = aTarget, .at = Clock::now(), .answer = {} };
  aRecord.Line("client sends %s %s %s", sent.id.c_str(), aMethod.c_str(), aTarget.c_str());
  if (aSocket.IsOpen() &&
      aSocket.Send(RequestText(aMethod, aTarget, sent.id, aDeadlineMs, aBody))) {
    auto answer = aSocket.Receive(sent.at + Millis(aDeadlineMs + 500), true);
    if (answer && !answer->incomplete) {
      sent.status = answer->Status();
      sent.answer = std::move(*answer);
    }
  }
  aRecord.Line("client gets %s %d", sent.id.c_str(), sent.status);
  return sent;
}

/// Sends a request on a connection of its own.
inline Sent
Ask(Record& aRecord,
    uint16_t aPort,
    const std::string& aMethod,
    const std::string& aTarget,
    int aDeadlineMs = 2000,
    const std::string& aBody = "")
{
  Socket socket;
  socket.Connect(aPort);
  return Exchange(aRecord, socket, aMethod, aTarget, aDeadlineMs, aBody);
}

struct RouteSpec
{
  std::string prefix;
  std::string type = "idempotent";
  std::string service;
  std::vector<std::string> gather;
  int attempts = 2;
  int timeoutMs = 2000;
  int objectiveMs = 300;
};

struct ConfigurationSpec
{
  int version = 1;
  std::vector<RouteSpec> routes;
  std::vector<std::string> services;
  int maxBodyBytes = 262144;
  int maxHeaderBytes = 16384;
  int headerTimeoutMs = 5000;
  int idleTimeoutMs = 30000;
};

inline std::string
ConfigurationText(const ConfigurationSpec& aSpec)
{
  std::string routes;
  for (const RouteSpec& route : aSpec.routes) {
    std::string to;
    if (route.gather.empty()) {
      to = "\"service\":" + Quote(route.service);
    } else {
      for (const std::string& shard : route.gather) {
        to += (to.empty() ? "\"gather\":[" : ",") + Quote(shard);
      }
      to += "],\"top_k\":5,\"min_coverage\":0.75";
    }
    routes += (routes.empty() ? "" : ",") + ("{\"name\":" + Quote(route.prefix)) +
              ",\"host\":\"desk.example\",\"path_prefix\":" + Quote(route.prefix) +
              ",\"type\":" + Quote(route.type) +
              ",\"timeout_ms\":" + std::to_string(route.timeoutMs) +
              ",\"slo_ms\":" + std::to_string(route.objectiveMs) +
              ",\"priority\":1,\"attempts\":" + std::to_string(route.attempts) + "," + to + "}";
  }
  std::string services;
  for (const std::string& service : aSpec.services) {
    services += (services.empty() ? "" : ",") + ("{\"name\":" + Quote(service)) +
                ",\"health_check\":\"/health\",\"max_conns\":96}";
  }
  return "{\"version\":" + std::to_string(aSpec.version) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"max_header_bytes\":" + std::to_string(aSpec.maxHeaderBytes) +
         ",\"max_body_bytes\":" + std::to_string(aSpec.maxBodyBytes) +
         ",\"header_timeout_ms\":" + std::to_string(aSpec.headerTimeoutMs) +
         ",\"idle_timeout_ms\":" + std::to_string(aSpec.idleTimeoutMs) + "}}";
}

/// The arguments of a case: the program under test, the folder of the record, a temporary folder.
struct Arguments
{
  std::string program;
  std::string recordFile;
  std::string folder;
};

inline Arguments
ReadArguments(int aCount, char** aValues)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 4 || access(aValues[1], X_OK) != 0) {
    std::fprintf(stderr, "usage: case PROGRAM RECORD FOLDER\n");
    std::exit(kCannotRun);
  }
  return { aValues[1], aValues[2], aValues[3] };
}

/// What came of a request that crashes the servers that run it, and that comes again and again.
struct CrashOutcome
{
  int crashes = 0;
  /// Retries that reached a server, sent by clients later than the stability window after the third crash.
  int lateRetries = 0;
};

inline CrashOutcome
JudgeCrashes(Record& aRecord,
             const std::vector<std::unique_ptr<CrashingServer>>& aServers,
             const std::vector<Sent>& aSends,
             int aStabilityMs)
{
  std::vector<Instant> crashes;
  std::set<std::string> ran;
  for (const auto& server : aServers) {
    std::vector<Instant> own = server->Crashes();
    crashes.insert(crashes.end(), own.begin(), own.end());
    for (const Server::Run& run : server->Process().Runs()) {
      ran.insert(run.id);
    }
  }
  std::sort(crashes.begin(), crashes.end());
  CrashOutcome outcome{ .crashes = static_cast<int>(crashes.size()) };
  for (const Sent& sent : aSends) {
    bool isLate = crashes.size() >= 3 && sent.at > crashes[2] + Millis(aStabilityMs);
    if (isLate && ran.count(sent.id) > 0) {
      ++outcome.lateRetries;
      aRecord.Line("late retry %s reached a server", sent.id.c_str());
    }
  }
  return outcome;
}

} // namespace standin
