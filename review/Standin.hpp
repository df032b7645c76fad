/// @file Stand-ins for the platform's store, servers and clients, and a launcher of the project's
/// program. Each listens at its own loopback address, with the ports of a deployment.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

constexpr uint16_t kCallerPort = 8226;
constexpr uint16_t kReadyPort = 8227;
constexpr uint16_t kPeerPort = 7740;
constexpr uint16_t kMetricsPort = 9464;
constexpr uint16_t kStorePort = 8229;
constexpr uint16_t kServerPort = 8080;
/// Requests that a server runs at once.
constexpr int kSlots = 3;

inline bool
WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Milliseconds since the program started.
inline int64_t
NowMs()
{
  static const Clock::time_point kStart = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

inline void
SleepMs(int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, aMillis)));
}

inline void
SleepUntilMs(int64_t aAt)
{
  SleepMs(aAt - NowMs());
}

/// Writes one line for each thing that was sent, answered or run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    std::lock_guard guard(this->lock);
    this->file << NowMs() << " " << aText << "\n";
  }

  void Say(const std::string& aText)
  {
    this->Line(aText);
    std::lock_guard guard(this->lock);
    this->file.flush();
    std::cout << NowMs() << " " << aText << std::endl;
  }

private:
  std::mutex lock;
  std::ofstream file;
};

inline sockaddr_in
SocketAddress(const std::string& aIp, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/// A group of loopback addresses 127.A.B.N that nothing uses yet.
class AddressRange
{
public:
  AddressRange()
  {
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
      this->prefix = "127." + std::to_string(20 + random() % 200) + "." +
                     std::to_string(1 + random() % 250) + ".";
      if (IsFree(this->prefix + "1", kCallerPort) && IsFree(this->prefix + "250", kStorePort) &&
          IsFree(this->prefix + "100", kServerPort)) {
        return;
      }
    }
    throw std::runtime_error("no free loopback addresses");
  }

  std::string Ip(int aNumber) const { return this->prefix + std::to_string(aNumber); }

private:
  static bool IsFree(const std::string& aIp, uint16_t aPort)
  {
    int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = SocketAddress(aIp, aPort);
    bool free = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    return free;
  }

  std::string prefix;
};

struct Message
{
  std::string start;
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;

  std::string Header(const std::string& aName) const
  {
    auto found = this->headers.find(aName);
    return found == this->headers.end() ? "" : found->second;
  }
  std::string Method() const { return this->start.substr(0, this->start.find(' ')); }
  std::string Target() const
  {
    size_t from = this->start.find(' ') + 1;
    return this->start.substr(from, this->start.find(' ', from) - from);
  }
  int Status() const { return std::atoi(this->start.substr(this->start.find(' ') + 1).c_str()); }
};

enum class ReadResult
{
  Complete,
  Closed,    ///< The connection ended before the first byte.
  Truncated, ///< The connection ended within the message, or nothing came in time.
  Malformed  ///< Bytes that are no message of HTTP/1.1.
};

/// Reads messages with a Content-Length from a socket.
class Reader
{
public:
  explicit Reader(int aSocket)
    : socket(aSocket)
  {
  }

  /// aToHead: the message answers a HEAD request, so it has no body.
  ReadResult Read(Message& aMessage, bool aIsAnswer, bool aToHead = false)
  {
    size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (aIsAnswer && this->buffer.size() >= 5 && this->buffer.compare(0, 5, "HTTP/") != 0) {
        return ReadResult::Malformed;
      }
      if (!this->Receive()) {
        return this->buffer.empty() ? ReadResult::Closed : ReadResult::Truncated;
      }
    }
    if (aIsAnswer && this->buffer.compare(0, 9, "HTTP/1.1 ") != 0) {
      return ReadResult::Malformed;
    }
    aMessage = {};
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, aMessage.start);
    while (std::getline(head, line)) {
      size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      size_t from = line.find_first_not_of(' ', colon + 1);
      size_t to = line.find_last_not_of(" \r");
      aMessage.headers[name] =
        from == std::string::npos || to < from ? "" : line.substr(from, to - from + 1);
    }
    if (!aMessage.start.empty() && aMessage.start.back() == '\r') {
      aMessage.start.pop_back();
    }
    size_t length = std::strtoul(aMessage.Header("content-length").c_str(), nullptr, 10);
    if (aToHead) {
      return ReadResult::Complete;
    }
    while (this->buffer.size() < length) {
      if (!this->Receive()) {
        return ReadResult::Truncated;
      }
    }
    aMessage.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return ReadResult::Complete;
  }

  const std::string& Rest() const { return this->buffer; }

private:
  bool Receive()
  {
    char bytes[16384];
    ssize_t count = recv(this->socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int socket;
  std::string buffer;
};

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t count = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

inline std::string
Answer(const std::string& aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Serves HTTP with a thread for each connection. A handler returns the bytes to send; none closes
/// the connection.
class HttpListener
{
public:
  using Handler = std::function<std::optional<std::string>(const Message&)>;

  HttpListener(std::string aIp, uint16_t aPort, Handler aHandler)
    : ip(std::move(aIp))
    , port(aPort)
    , handler(std::move(aHandler))
  {
    this->Open();
  }
  ~HttpListener() { this->Close(); }

  void Open()
  {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = SocketAddress(this->ip, this->port);
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(this->listener, 256) != 0) {
      throw std::runtime_error("cannot listen at " + this->Address());
    }
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  /// Closes the listening socket and all connections, as the end of the process would.
  void Close()
  {
    if (this->listener < 0) {
      return;
    }
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    this->listener = -1;
    {
      std::lock_guard guard(this->lock);
      for (int connection : this->connections) {
        shutdown(connection, SHUT_RDWR);
      }
    }
    std::unique_lock guard(this->lock);
    this->ended.wait(guard, [this] { return this->connections.empty(); });
  }

  std::string Address() const { return this->ip + ":" + std::to_string(this->port); }

private:
  void Accept()
  {
    while (true) {
      int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
          continue;
        }
        return;
      }
      int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::lock_guard guard(this->lock);
      this->connections.insert(connection);
      std::thread([this, connection] { this->Serve(connection); }).detach();
    }
  }

  void Serve(int aConnection)
  {
    Reader reader(aConnection);
    Message request;
    while (reader.Read(request, false) == ReadResult::Complete) {
      std::optional<std::string> answer = this->handler(request);
      if (!answer || !SendAll(aConnection, *answer)) {
        break;
      }
    }
    std::lock_guard guard(this->lock);
    this->connections.erase(aConnection);
    close(aConnection);
    this->ended.notify_all();
  }

  std::string ip;
  uint16_t port;
  Handler handler;
  int listener = -1;
  std::thread acceptor;
  std::mutex lock;
  std::condition_variable ended;
  std::set<int> connections;
};

/// The platform's store.
class Store
{
public:
  explicit Store(const std::string& aIp)
    : listener(aIp, kStorePort, [this](const Message& aRequest) { return this->Handle(aRequest); })
  {
  }
  ~Store()
  {
    this->stopped = true;
    this->CutWatches();
    this->listener.Close();
  }

  std::string Address() const { return this->listener.Address(); }

  /// Writes an object; its spec is JSON text. Returns when the write is acknowledged.
  int64_t Put(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    std::lock_guard guard(this->lock);
    this->Change(aKind, aName, &aSpec);
    return NowMs();
  }

  int64_t Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard guard(this->lock);
    this->Change(aKind, aName, nullptr);
    return NowMs();
  }

  /// Cuts off all watches that wait.
  int64_t CutWatches()
  {
    std::lock_guard guard(this->lock);
    ++this->cuts;
    this->changed.notify_all();
    return NowMs();
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
    uint64_t created = 0;
    std::string spec;
  };
  struct Event
  {
    std::string kind;
    uint64_t revision = 0;
    std::string text;
  };

  static std::string ToJson(const std::string& aName, const Object& aObject)
  {
    return "{\"meta\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.revision) +
           ",\"created\":" + std::to_string(aObject.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.spec + ",\"status\":null}";
  }

  void Change(const std::string& aKind, const std::string& aName, const std::string* aSpec)
  {
    auto& kind = this->objects[aKind];
    auto known = kind.find(aName);
    if (aSpec == nullptr ? known == kind.end()
                         : known != kind.end() && known->second.spec == *aSpec) {
      return;
    }
    Object object = known == kind.end() ? Object{} : known->second;
    object.revision = ++this->revision;
    object.created = object.created == 0 ? object.revision : object.created;
    if (aSpec == nullptr) {
      kind.erase(known);
    } else {
      object.spec = *aSpec;
      kind[aName] = object;
    }
    this->history.push_back({ aKind,
                              object.revision,
                              std::string("{\"removed\":") + (aSpec == nullptr ? "true" : "false") +
                                ",\"object\":" + ToJson(aName, object) + "}" });
    this->changed.notify_all();
  }

  static std::string Parameter(const std::string& aTarget, const std::string& aName)
  {
    size_t query = aTarget.find('?');
    std::string text = query == std::string::npos ? "" : "&" + aTarget.substr(query + 1);
    size_t at = text.find("&" + aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    size_t from = at + aName.size() + 2;
    return text.substr(from, text.find('&', from) - from);
  }

  static std::string Json200(const std::string& aBody)
  {
    return Answer("200 OK", "Content-Type: application/json\r\n", aBody);
  }

  std::string List(const std::string& aKind, const std::string& aAfter)
  {
    constexpr size_t kPage = 500;
    std::string items;
    size_t count = 0;
    bool more = false;
    auto& kind = this->objects[aKind];
    for (auto object = kind.upper_bound(aAfter); object != kind.end(); ++object) {
      if (count++ == kPage) {
        more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + ToJson(object->first, object->second);
    }
    return Json200("{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false") +
                   ",\"current_rev\":" + std::to_string(this->revision) + "}");
  }

  std::string EventsSince(const std::string& aKind, uint64_t aRevision)
  {
    std::string events;
    for (const Event& event : this->history) {
      if (event.kind == aKind && event.revision > aRevision) {
        events += (events.empty() ? "" : ",") + event.text;
      }
    }
    return events;
  }

  std::optional<std::string> Watch(std::unique_lock<std::mutex>& aGuard,
                                   const std::string& aKind,
                                   uint64_t aRevision,
                                   int64_t aWaitMs)
  {
    uint64_t before = this->cuts;
    auto due = Clock::now() + std::chrono::milliseconds(aWaitMs);
    std::string events = this->EventsSince(aKind, aRevision);
    while (events.empty() && Clock::now() < due) {
      this->changed.wait_until(aGuard, due);
      events = this->EventsSince(aKind, aRevision);
      if (this->stopped || (events.empty() && this->cuts != before)) {
        return std::nullopt;
      }
    }
    return Json200("{\"events\":[" + events +
                   "],\"current_rev\":" + std::to_string(this->revision) + "}");
  }

  std::optional<std::string> Handle(const Message& aRequest)
  {
    const std::string root = "/objects/";
    std::string target = aRequest.Target();
    std::string path = target.substr(0, target.find('?'));
    if (path.compare(0, root.size(), root) != 0) {
      return Answer("404 Not Found", "", "");
    }
    path.erase(0, root.size());
    std::string kind = path.substr(0, path.find('/'));
    std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
    std::unique_lock guard(this->lock);
    if (aRequest.Method() == "GET") {
      std::string watch = Parameter(target, "watch");
      if (!watch.empty()) {
        return this->Watch(
          guard, kind, std::stoull(watch), std::atoll(Parameter(target, "wait_ms").c_str()));
      }
      return this->List(kind, Parameter(target, "after"));
    }
    if (aRequest.Method() == "DELETE") {
      bool exists = this->objects[kind].count(name) > 0;
      this->Change(kind, name, nullptr);
      return exists ? Json200("{}") : Answer("404 Not Found", "", "");
    }
    Json::Value body;
    std::istringstream text(aRequest.body);
    std::string problems;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), text, &body, &problems)) {
      return Answer("400 Bad Request", "", "");
    }
    bool creates = aRequest.Method() == "POST";
    name = creates ? body["meta"]["name"].asString() : name;
    bool exists = this->objects[kind].count(name) > 0;
    if (creates == exists) {
      return Answer(exists ? "409 Conflict" : "404 Not Found", "", "");
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    std::string spec = Json::writeString(writer, body["spec"]);
    this->Change(kind, name, &spec);
    return Json200(ToJson(name, this->objects[kind][name]));
  }

  std::mutex lock;
  std::condition_variable changed;
  std::atomic<bool> stopped = false;
  uint64_t cuts = 0;
  uint64_t revision = 100;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::vector<Event> history;
  HttpListener listener;
};

/// A server of a service. Each start is a new incarnation with a new id.
class Server
{
public:
  struct Options
  {
    Record& record;
    Store& store;
    std::string service;
    std::string ip;
    std::string zone = "zone-a";
    int64_t workMs = 5;
    /// A request with this path ends the process that begins to run it.
    std::string crashPath;
    int64_t restartAfterMs = 3000;
  };
  struct Run
  {
    std::string request;
    std::string server;
    int64_t at = 0;
    bool answered = false;
  };

  explicit Server(Options aOptions)
    : options(std::move(aOptions))
    , id(NewId())
    , listener(std::make_unique<HttpListener>(
        this->options.ip,
        kServerPort,
        [this](const Message& aRequest) { return this->Handle(aRequest); }))
  {
    this->Register("ready");
  }
  ~Server()
  {
    if (this->restarter.joinable()) {
      this->restarter.join();
    }
  }

  std::string Id()
  {
    std::lock_guard guard(this->lock);
    return this->id;
  }

  int64_t Register(const std::string& aState)
  {
    std::string current = this->Id();
    this->options.record.Line("store: server " + current + " " + aState);
    return this->options.store.Put(
      "servers",
      current,
      "{\"service\":\"" + this->options.service + "\",\"address\":\"" + this->options.ip + ":" +
        std::to_string(kServerPort) + "\",\"zone\":\"" + this->options.zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(kSlots) + ",\"state\":\"" + aState +
        "\",\"cold_remaining_ms\":0,\"seq\":4}");
  }

  /// Ends the process.
  void Exit()
  {
    this->options.record.Say("server " + this->Id() + " exits");
    this->End();
  }

  std::vector<Run> Runs()
  {
    std::lock_guard guard(this->lock);
    return this->runs;
  }

private:
  static std::string NewId()
  {
    static std::atomic<int> next = 1;
    return "i-" + std::to_string(1000 + next++);
  }

  std::optional<std::string> Handle(const Message& aRequest)
  {
    std::string current = this->Id();
    std::string request = aRequest.Header("sapphirewind-request-id");
    std::string path = aRequest.Target();
    if (path == "/health") {
      return Answer("200 OK", "Sapphirewind-Instance-Id: " + current + "\r\n", "");
    }
    std::string wanted = aRequest.Header("sapphirewind-target-instance");
    if (!wanted.empty() && wanted != current) {
      return Answer("421 Misdirected Request", "Sapphirewind-Instance-Id: " + current + "\r\n", "");
    }
    size_t index = 0;
    {
      std::unique_lock guard(this->lock);
      this->slotFree.wait(guard, [this] { return this->running < kSlots || this->down; });
      if (this->down) {
        return std::nullopt;
      }
      ++this->running;
      index = this->runs.size();
      this->runs.push_back({ request, current, NowMs() });
    }
    this->options.record.Line("server " + current + " runs " + request + " " + aRequest.Method() +
                              " " + path);
    if (!this->options.crashPath.empty() && path == this->options.crashPath) {
      this->Crash();
      std::lock_guard guard(this->lock);
      --this->running;
      return std::nullopt;
    }
    SleepMs(this->options.workMs);
    std::lock_guard guard(this->lock);
    --this->running;
    this->slotFree.notify_one();
    if (this->down) {
      return std::nullopt;
    }
    this->runs[index].answered = true;
    std::string body = aRequest.Method() == "HEAD" ? "" : "result of " + request;
    return Answer("200 OK",
                  "Sapphirewind-Request-Id: " + request + "\r\nSapphirewind-Server-Stamp: stamp-" +
                    request + "\r\n",
                  body);
  }

  void End()
  {
    {
      std::lock_guard guard(this->lock);
      this->down = true;
    }
    this->slotFree.notify_all();
    this->listener->Close();
  }

  /// Ends the process and starts a new incarnation after some seconds.
  void Crash()
  {
    if (this->down.exchange(true)) {
      return;
    }
    if (this->restarter.joinable()) {
      this->restarter.join();
    }
    this->options.record.Line("server " + this->Id() + " crashes");
    this->restarter = std::thread([this] {
      std::string old = this->Id();
      this->End();
      SleepMs(this->options.restartAfterMs);
      {
        std::lock_guard guard(this->lock);
        this->id = NewId();
      }
      this->down = false;
      this->listener->Open();
      this->options.store.Remove("servers", old);
      this->Register("ready");
    });
  }

  Options options;
  std::mutex lock;
  std::string id;
  std::vector<Run> runs;
  std::condition_variable slotFree;
  int running = 0;
  std::atomic<bool> down = false;
  std::thread restarter;
  std::unique_ptr<HttpListener> listener;
};

struct Reply
{
  ReadResult result = ReadResult::Closed;
  Message message;
  int Status() const { return this->result == ReadResult::Complete ? this->message.Status() : 0; }
};

inline int
Connect(const std::string& aIp, uint16_t aPort, int64_t aTimeoutMs)
{
  int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{ .tv_sec = aTimeoutMs / 1000, .tv_usec = (aTimeoutMs % 1000) * 1000 };
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  sockaddr_in address = SocketAddress(aIp, aPort);
  if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(connection);
    return -1;
  }
  int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

inline std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int64_t aDeadlineMs)
{
  std::string text = aMethod + " " + aPath +
                     " HTTP/1.1\r\nHost: shop.example\r\nSapphirewind-Request-Id: " + aId +
                     "\r\nSapphirewind-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  return text + (aMethod == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

/// Sends one request on a new connection.
inline Reply
Call(const std::string& aIp,
     uint16_t aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aId,
     int64_t aDeadlineMs)
{
  Reply reply;
  int connection = Connect(aIp, aPort, aDeadlineMs + 1000);
  if (connection < 0) {
    return reply;
  }
  if (SendAll(connection, RequestText(aMethod, aPath, aId, aDeadlineMs))) {
    Reader reader(connection);
    reply.result = reader.Read(reply.message, true);
  }
  close(connection);
  return reply;
}

/// An instance of the program, started with the command of the deploy file.
class Instance
{
public:
  struct Options
  {
    Record& record;
    std::string ip;
    std::string name;
    std::string zone = "zone-a";
    std::string storeAddress;
    std::filesystem::path folder;
  };

  explicit Instance(Options aOptions)
    : options(std::move(aOptions))
  {
    this->settings = (this->options.folder / (this->options.name + ".json")).string();
    this->Start(true);
  }
  ~Instance()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
  }

  const std::string& Ip() const { return this->options.ip; }
  const std::string& Name() const { return this->options.name; }

  void Start(bool aFirst)
  {
    this->WriteSettings(aFirst);
    std::string log = (this->options.folder / (this->options.name + ".log")).string();
    std::string variable = "SAPPHIREWIND_CONFIG=" + this->settings;
    const char* path = std::getenv("PATH");
    std::string search = std::string("PATH=") + (path == nullptr ? "" : path);
    pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      char* arguments[] = { const_cast<char*>("target/programs/sapphirewind"), nullptr };
      char* environment[] = { variable.data(), search.data(), nullptr };
      execve(arguments[0], arguments, environment);
      _exit(127);
    }
    this->options.record.Say("instance " + this->options.name + " started");
  }

  void Signal(int aSignal) const { kill(this->pid, aSignal); }

  /// Waits for the process to end; kills it after the grace period, as the platform does.
  void AwaitEnd(int64_t aGraceMs)
  {
    int64_t until = NowMs() + aGraceMs;
    while (NowMs() < until) {
      if (waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->pid = 0;
        this->options.record.Say("instance " + this->options.name + " ended");
        return;
      }
      SleepMs(20);
    }
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
    this->options.record.Say("instance " + this->options.name + " was killed");
  }

  bool HasEnded()
  {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = 0;
    }
    return this->pid <= 0;
  }

  bool AwaitReady(int64_t aWithinMs)
  {
    int64_t until = NowMs() + aWithinMs;
    while (NowMs() < until) {
      if (Call(this->options.ip, kReadyPort, "GET", "/ready", "ready", 1000).Status() == 200) {
        this->options.record.Say("instance " + this->options.name + " is ready");
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

private:
  /// The settings that platform/settings.json.template gives with the bounds of the site.
  void WriteSettings(bool aFirst) const
  {
    const std::string& ip = this->options.ip;
    std::ofstream(this->settings)
      << "{\"instance\":\"" << this->options.name << "\",\"zone\":\"" << this->options.zone
      << "\",\"regions\":{\"zone-a\":\"region-a\"},\"listen_callers\":\"" << ip << ":"
      << kCallerPort << "\",\"listen_status\":\"" << ip << ":" << kReadyPort
      << "\",\"listen_metrics\":\"" << ip << ":" << kMetricsPort << "\",\"listen_peers\":\"" << ip
      << ":" << kPeerPort << "\",\"store\":\"" << this->options.storeAddress
      << "\",\"first_start\":" << (aFirst ? "true" : "false")
      << ",\"max_descriptors\":4100,\"extra_share\":0.2,\"extra_minimum\":52,"
         "\"extra_window\":\"10s\",\"stability_window\":\"5000ms\",\"drain\":\"4000ms\","
         "\"stop_within\":\"6s\"}\n";
  }

  Options options;
  std::string settings;
  pid_t pid = 0;
};

/// Bounds of the site whose settings the instances get.
constexpr int64_t kDrainMs = 4000;
constexpr int64_t kGraceMs = 6000;
constexpr int64_t kStabilityMs = 5000;
constexpr int64_t kConfigApplyMs = 4000;

/// A small deployment: the store, servers of one service and instances.
class Deployment
{
public:
  /// aFolder: of the case, where the record is written.
  explicit Deployment(const std::string& aFolder)
    : record(aFolder + "/record.txt")
    , store(this->addresses.Ip(250))
  {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
  }
  ~Deployment()
  {
    this->instances.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(this->folder, ignored);
    } else {
      std::cout << "logs: " << this->folder << std::endl;
    }
    for (auto& server : this->servers) {
      server->Exit();
    }
  }

  /// Writes the first configuration: one route on one service.
  void Configure(const std::string& aRoutes, const std::string& aServices, int aVersion = 7)
  {
    this->store.Put("config",
                    "main",
                    "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + aRoutes +
                      "],\"services\":[" + aServices +
                      "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    this->record.Say("store: configuration " + std::to_string(aVersion));
  }

  static std::string Route(const std::string& aName,
                           const std::string& aPrefix,
                           const std::string& aType,
                           const std::string& aService,
                           int aTimeoutMs = 6000)
  {
    return "{\"name\":\"" + aName + "\",\"host\":\"shop.example\",\"path_prefix\":\"" + aPrefix +
           "\",\"type\":\"" + aType + "\",\"timeout_ms\":" + std::to_string(aTimeoutMs) +
           ",\"slo_ms\":1200,\"priority\":1,\"service\":\"" + aService + "\",\"attempts\":2}";
  }
  static std::string Service(const std::string& aName)
  {
    return "{\"name\":\"" + aName +
           "\",\"health_check\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}";
  }

  Server& AddServer(const std::string& aService, int64_t aWorkMs, const std::string& aCrash = "")
  {
    int number = 100 + static_cast<int>(this->servers.size());
    this->servers.push_back(
      std::make_unique<Server>(Server::Options{ .record = this->record,
                                                .store = this->store,
                                                .service = aService,
                                                .ip = this->addresses.Ip(number),
                                                .workMs = aWorkMs,
                                                .crashPath = aCrash }));
    return *this->servers.back();
  }

  bool StartInstances(int aCount)
  {
    for (int number = 1; number <= aCount; ++number) {
      this->instances.push_back(
        std::make_unique<Instance>(Instance::Options{ .record = this->record,
                                                      .ip = this->addresses.Ip(number),
                                                      .name = "front-" + std::to_string(number),
                                                      .storeAddress = this->store.Address(),
                                                      .folder = this->folder }));
    }
    return std::all_of(this->instances.begin(), this->instances.end(), [](const auto& aInstance) {
      return aInstance->AwaitReady(15000);
    });
  }

  AddressRange addresses;
  Record record;
  Store store;
  std::filesystem::path folder;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Instance>> instances;
};

/// Clients that send requests at a steady rate to each instance.
class Clients
{
public:
  struct Sent
  {
    std::string id;
    std::string instance;
    int64_t at = 0;
    int64_t endedAt = 0;
    int status = 0; ///< 0: the connection ended without a complete answer.
  };

  struct Options
  {
    Deployment& deployment;
    std::string method = "POST";
    std::string path;
    int64_t deadlineMs = 6000;
    /// For each instance: clients, and how long each pauses after an answer.
    int clients = 3;
    int64_t pauseMs = 50;
  };

  explicit Clients(Options aOptions)
    : options(std::move(aOptions))
  {
    for (const auto& instance : this->options.deployment.instances) {
      for (int number = 0; number < this->options.clients; ++number) {
        this->threads.emplace_back([this, &instance] { this->Run(*instance); });
      }
    }
  }
  ~Clients() { this->Stop(); }

  void Stop()
  {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  std::vector<Sent> All()
  {
    std::lock_guard guard(this->lock);
    return this->sent;
  }

private:
  void Run(Instance& aInstance)
  {
    while (!this->stopping) {
      Sent entry{ .id = "r" + std::to_string(this->next++),
                  .instance = aInstance.Name(),
                  .at = NowMs() };
      entry.status = Call(aInstance.Ip(),
                          kCallerPort,
                          this->options.method,
                          this->options.path,
                          entry.id,
                          this->options.deadlineMs)
                       .Status();
      entry.endedAt = NowMs();
      this->options.deployment.record.Line("client: " + entry.id + " sent at " +
                                           std::to_string(entry.at) + " to " + entry.instance +
                                           ", answered " + std::to_string(entry.status));
      {
        std::lock_guard guard(this->lock);
        this->sent.push_back(entry);
      }
      SleepMs(this->options.pauseMs);
    }
  }

  Options options;
  std::atomic<bool> stopping = false;
  std::atomic<int> next = 1;
  std::mutex lock;
  std::vector<Sent> sent;
  std::vector<std::thread> threads;
};

} // namespace review
