/// @file Stand-ins for the cases 11 to 15: the platform's store, servers, clients, and the processes under test.
/// Everything listens on 127.0.0.1, on ports that are free. No library beyond the system's is used.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

constexpr int kCannotRun = 2;

inline Clock::time_point
StartOfRun()
{
  static const Clock::time_point kStart = Clock::now();
  return kStart;
}

inline int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartOfRun()).count();
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// The record of a run: one line an event, with the milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[4096];
    va_list arguments;
    va_start(arguments, aFormat);
    vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    std::lock_guard guard(this->lock);
    this->file << NowMs() << " " << text << std::endl;
  }

private:
  std::mutex lock;
  std::ofstream file;
};

/// A message of HTTP/1.1, a request or an answer.
struct Message
{
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : this->fields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& aName) const
  {
    return std::any_of(this->fields.begin(), this->fields.end(), [&](const auto& aField) {
      return strcasecmp(aField.first.c_str(), aName.c_str()) == 0;
    });
  }
  std::string Method() const { return this->start.substr(0, this->start.find(' ')); }
  std::string Target() const
  {
    size_t from = this->start.find(' ') + 1;
    return this->start.substr(from, this->start.find(' ', from) - from);
  }
  int Status() const { return this->start.size() < 12 ? 0 : atoi(this->start.c_str() + 9); }
};

inline std::string
Reply(int aStatus, const std::vector<std::pair<std::string, std::string>>& aFields, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// A connection with its input. Reads wait until a time.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket(aSocket)
  {
    int on = 1;
    setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    if (this->socket >= 0) {
      close(this->socket);
      this->socket = -1;
    }
  }
  /// Closes with a reset in place of an orderly end.
  void Reset()
  {
    linger abort{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    this->Close();
  }
  void EndOutput() { shutdown(this->socket, SHUT_WR); }
  /// Ends both directions, also for a thread that waits for input.
  void Abort() { shutdown(this->socket, SHUT_RDWR); }

  bool Send(const std::string& aText)
  {
    size_t sent = 0;
    while (sent < aText.size()) {
      ssize_t count = send(this->socket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  /// Whether input is there or comes before a time; false at the end of the connection.
  bool Fill(Clock::time_point aUntil)
  {
    while (true) {
      auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aUntil - Clock::now()).count();
      pollfd wait{ .fd = this->socket, .events = POLLIN, .revents = 0 };
      int ready = poll(&wait, 1, static_cast<int>(std::max<int64_t>(0, left)));
      if (ready < 0 && errno == EINTR) {
        continue;
      }
      if (ready <= 0) {
        this->timedOut = true;
        return false;
      }
      char bytes[65536];
      ssize_t count = recv(this->socket, bytes, sizeof bytes, 0);
      if (count <= 0) {
        this->ended = true;
        return false;
      }
      this->input.append(bytes, static_cast<size_t>(count));
      return true;
    }
  }

  /// Whether the other side has closed, with nothing more to read; does not wait.
  bool IsClosedByPeer()
  {
    pollfd wait{ .fd = this->socket, .events = POLLIN, .revents = 0 };
    char byte = 0;
    return poll(&wait, 1, 0) > 0 && recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }

  /// The next message; nothing if it is not whole by then. aHeadOnly: without a body, whatever the length says.
  std::optional<Message> Receive(Clock::time_point aUntil, bool aHeadOnly = false)
  {
    size_t end = 0;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head(this->input.substr(0, end + 2));
    std::string line;
    std::getline(head, line);
    message.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      size_t from = line.find_first_not_of(' ', colon + 1);
      std::string value = from == std::string::npos ? "" : line.substr(from);
      message.fields.emplace_back(line.substr(0, colon), value.substr(0, value.find('\r')));
    }
    this->input.erase(0, end + 4);
    if (aHeadOnly) {
      return message;
    }
    size_t length = static_cast<size_t>(atoll(message.Field("Content-Length").c_str()));
    while (this->input.size() < length) {
      if (!this->Fill(aUntil)) {
        return std::nullopt;
      }
    }
    message.body = this->input.substr(0, length);
    this->input.erase(0, length);
    return message;
  }

  bool HasEnded() const { return this->ended; }
  bool HasTimedOut() const { return this->timedOut; }
  size_t Unread() const { return this->input.size(); }

private:
  int socket;
  std::string input;
  bool ended = false;
  bool timedOut = false;
};

inline int
Listen(uint16_t& aPort)
{
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener, 512) != 0) {
    perror("listen");
    exit(kCannotRun);
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return listener;
}

/// A port that was free a moment ago.
inline uint16_t
FreePort()
{
  static std::set<uint16_t> given;
  while (true) {
    uint16_t port = 0;
    close(Listen(port));
    if (given.insert(port).second) {
      return port;
    }
  }
}

inline std::string
Loopback(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

inline std::unique_ptr<Connection>
Connect(uint16_t aPort)
{
  int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(client);
    return nullptr;
  }
  return std::make_unique<Connection>(client);
}

/// Accepts connections; each is served by a thread of its own.
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;

  explicit Listener(Serve aServe, uint16_t aPort = 0)
    : serve(std::move(aServe))
    , port(aPort)
  {
    this->listener = Listen(this->port);
    std::thread([this, socket = this->listener] { this->Accept(socket); }).detach();
  }

  uint16_t Port() const { return this->port; }
  /// Refuses new connections from now on.
  void Stop()
  {
    this->stopped = true;
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
  }

private:
  void Accept(int aListener)
  {
    while (true) {
      int client = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        if (this->stopped || errno != EINTR) {
          return;
        }
        continue;
      }
      std::thread([this, client] {
        Connection connection(client);
        this->serve(connection);
      }).detach();
    }
  }

  Serve serve;
  uint16_t port;
  int listener = -1;
  std::atomic<bool> stopped{ false };
};

/// The platform's store: objects by kind and name, lists, watches, conditional writes. Specs are JSON texts.
class Store
{
public:
  explicit Store(Record& aRecord)
    : record(aRecord)
    , listener([this](Connection& aConnection) { this->Serve(aConnection); })
  {
  }

  std::string Address() const { return Loopback(this->listener.Port()); }
  uint16_t Port() const { return this->listener.Port(); }

  uint64_t Put(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    std::lock_guard guard(this->lock);
    return this->Change(aKind, aName, &aSpec);
  }
  uint64_t Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard guard(this->lock);
    return this->Change(aKind, aName, nullptr);
  }
  size_t Count(const std::string& aKind)
  {
    std::lock_guard guard(this->lock);
    return this->kinds[aKind].size();
  }
  /// While it is down, each call is answered with 503 and nothing is done.
  void SetDown(bool aDown)
  {
    std::lock_guard guard(this->lock);
    this->down = aDown;
    this->changed.notify_all();
  }
  /// While it is cut off, no call is heard and no answer arrives; those that are under way come through afterwards.
  void SetCutOff(bool aCutOff)
  {
    std::lock_guard guard(this->lock);
    this->cutOff = aCutOff;
    this->changed.notify_all();
  }
  /// Whether the history up to now is dropped, so that a watch from before gets 410.
  void Compact()
  {
    std::lock_guard guard(this->lock);
    this->oldest = this->revision;
    this->events.clear();
    this->changed.notify_all();
  }

private:
  struct Object
  {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Event
  {
    Clock::time_point at;
    uint64_t revision;
    std::string kind;
    std::string name;
    std::string json;
  };

  static std::string ObjectJson(const std::string& aName, const Object& aObject)
  {
    std::string revision = std::to_string(aObject.revision);
    return "{\"meta\":{\"name\":\"" + aName + "\",\"revision\":" + revision + ",\"created\":1,\"finalizers\":[]," +
           "\"deleting\":false},\"spec\":" + aObject.spec + ",\"status\":{}}";
  }

  uint64_t Change(const std::string& aKind, const std::string& aName, const std::string* aSpec)
  {
    auto& objects = this->kinds[aKind];
    auto found = objects.find(aName);
    if (aSpec != nullptr && found != objects.end() && found->second.spec == *aSpec) {
      return found->second.revision;
    }
    if (aSpec == nullptr && found == objects.end()) {
      return this->revision;
    }
    ++this->revision;
    Object object{ .revision = this->revision, .spec = aSpec == nullptr ? found->second.spec : *aSpec };
    std::string json = "{\"object\":" + ObjectJson(aName, object) + ",\"removed\":" +
                       (aSpec == nullptr ? "true" : "false") + "}";
    this->events.push_back({ Clock::now(), this->revision, aKind, aName, json });
    if (aSpec == nullptr) {
      objects.erase(found);
    } else {
      objects[aName] = object;
    }
    this->changed.notify_all();
    return this->revision;
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    size_t question = aTarget.find('?');
    std::string rest = question == std::string::npos ? "" : "&" + aTarget.substr(question + 1);
    size_t at = rest.find("&" + aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    at += aName.size() + 2;
    return rest.substr(at, rest.find('&', at) - at);
  }

  static std::string Json(int aStatus, const std::string& aBody)
  {
    return Reply(aStatus, { { "Content-Type", "application/json" } }, aBody);
  }

  void Serve(Connection& aConnection)
  {
    while (true) {
      std::optional<Message> request = aConnection.Receive(Clock::now() + std::chrono::hours(1));
      if (!request) {
        return;
      }
      this->AwaitPath();
      std::string answer = this->Answer(*request);
      this->AwaitPath();
      if (!aConnection.Send(answer)) {
        return;
      }
    }
  }

  void AwaitPath()
  {
    std::unique_lock guard(this->lock);
    this->changed.wait(guard, [this] { return !this->cutOff; });
  }

  std::string Answer(const Message& aRequest)
  {
    std::string target = aRequest.Target();
    std::string path = target.substr(0, target.find('?'));
    constexpr const char* kRoot = "/objects/";
    if (path.rfind(kRoot, 0) != 0) {
      return Json(404, "{}");
    }
    std::string rest = path.substr(strlen(kRoot));
    size_t slash = rest.find('/');
    std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock guard(this->lock);
    if (this->down) {
      return Json(503, "{}");
    }
    if (aRequest.Method() == "GET" && name.empty()) {
      std::string watch = Query(target, "watch");
      return watch.empty() ? this->List(kind)
                           : this->Watch(guard, kind, std::stoull(watch), Query(target, "wait_ms"));
    }
    auto& objects = this->kinds[kind];
    if (aRequest.Method() == "POST") {
      size_t at = aRequest.body.find("\"name\":");
      size_t from = aRequest.body.find('"', at + 7) + 1;
      name = aRequest.body.substr(from, aRequest.body.find('"', from) - from);
      if (objects.count(name) > 0) {
        return Json(409, ObjectJson(name, objects[name]));
      }
      std::string spec = SpecOf(aRequest.body);
      this->Change(kind, name, &spec);
      return Json(201, ObjectJson(name, objects[name]));
    }
    if (objects.count(name) == 0) {
      return Json(404, "{}");
    }
    if (aRequest.Method() == "PUT") {
      std::string spec = SpecOf(aRequest.body);
      this->Change(kind, name, &spec);
    } else if (aRequest.Method() == "DELETE") {
      this->Change(kind, name, nullptr);
      return Json(200, "{}");
    }
    return Json(200, ObjectJson(name, objects[name]));
  }

  /// The text of the member "spec", whose braces are balanced.
  static std::string SpecOf(const std::string& aBody)
  {
    size_t at = aBody.find("\"spec\":");
    size_t from = at == std::string::npos ? at : aBody.find('{', at);
    if (from == std::string::npos) {
      return "{}";
    }
    int depth = 0;
    for (size_t end = from; end < aBody.size(); ++end) {
      depth += aBody[end] == '{' ? 1 : aBody[end] == '}' ? -1 : 0;
      if (depth == 0) {
        return aBody.substr(from, end + 1 - from);
      }
    }
    return "{}";
  }

  std::string List(const std::string& aKind)
  {
    std::string items;
    for (const auto& [name, object] : this->kinds[aKind]) {
      items += (items.empty() ? "" : ",") + ObjectJson(name, object);
    }
    return Json(200,
                "{\"items\":[" + items + "],\"has_more\":false,\"current_rev\":" + std::to_string(this->revision) +
                  "}");
  }

  /// Drops what is older than the platform keeps.
  void DropHistory()
  {
    constexpr std::chrono::seconds kHistory(20);
    while (!this->events.empty() && Clock::now() - this->events.front().at > kHistory) {
      this->oldest = this->events.front().revision;
      this->events.erase(this->events.begin());
    }
  }

  std::string Watch(std::unique_lock<std::mutex>& aGuard,
                    const std::string& aKind,
                    uint64_t aFrom,
                    const std::string& aWait)
  {
    auto until = Clock::now() + std::chrono::milliseconds(aWait.empty() ? 0 : std::stoll(aWait));
    while (true) {
      if (this->down) {
        return Json(503, "{}");
      }
      this->DropHistory();
      if (aFrom < this->oldest) {
        return Json(410, "{}");
      }
      std::string events;
      for (const Event& event : this->events) {
        if (event.kind == aKind && event.revision > aFrom) {
          events += (events.empty() ? "" : ",") + event.json;
        }
      }
      if (!events.empty() || this->changed.wait_until(aGuard, until) == std::cv_status::timeout) {
        return Json(200, "{\"events\":[" + events + "],\"current_rev\":" + std::to_string(this->revision) + "}");
      }
    }
  }

  Record& record;
  std::mutex lock;
  std::condition_variable changed;
  uint64_t revision = 100;
  uint64_t oldest = 0;
  bool down = false;
  bool cutOff = false;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  Listener listener;
};

/// A request that a server began to work on.
struct Run
{
  std::string id;
  std::string server;
  std::string start;
  std::string body;
  int64_t atMs = 0;
};

/// All that the servers ran, in order.
class Runs
{
public:
  explicit Runs(Record& aRecord)
    : record(aRecord)
  {
  }
  void Add(const Message& aRequest, const std::string& aServer)
  {
    Run run{ .id = aRequest.Field("Sapphirewind-Request-Id"),
             .server = aServer,
             .start = aRequest.start,
             .body = aRequest.body,
             .atMs = NowMs() };
    this->record.Line("run %s at %s: %s", run.id.c_str(), aServer.c_str(), run.start.c_str());
    std::lock_guard guard(this->lock);
    this->runs.push_back(run);
  }
  std::vector<Run> All() const
  {
    std::lock_guard guard(this->lock);
    return this->runs;
  }
  std::vector<Run> Of(const std::string& aId) const
  {
    std::vector<Run> found;
    for (const Run& run : this->All()) {
      if (run.id == aId) {
        found.push_back(run);
      }
    }
    return found;
  }

private:
  Record& record;
  mutable std::mutex lock;
  std::vector<Run> runs;
};

/// A server. It answers one request at a time on a connection, as long as nothing else is set.
class Server
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 3;
  };
  /// What is sent in place of the usual answer; nothing for the usual one. It may wait.
  using Behaviour = std::function<std::optional<std::string>(const Message&, Connection&)>;

  Server(Options aOptions, Store& aStore, Runs& aRuns)
    : options(std::move(aOptions))
    , born(UnixMs())
    , store(aStore)
    , runs(aRuns)
    , listener([this](Connection& aConnection) { this->Serve(aConnection); })
  {
  }

  const std::string& Id() const { return this->options.id; }
  uint16_t Port() const { return this->listener.Port(); }

  void Register(const std::string& aState = "ready")
  {
    this->store.Put("servers",
                    this->options.id,
                    "{\"service\":\"" + this->options.service + "\",\"address\":\"" + Loopback(this->Port()) +
                      "\",\"zone\":\"" + this->options.zone + "\",\"version\":\"v1\",\"slots\":" +
                      std::to_string(this->options.slots) + ",\"state\":\"" + aState +
                      "\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":" + std::to_string(this->born) + "}");
  }
  void SetBehaviour(Behaviour aBehaviour)
  {
    std::lock_guard guard(this->lock);
    this->behaviour = std::move(aBehaviour);
  }

  /// Ends as a process that crashes does: nothing listens any more, and all connections end.
  void Crash()
  {
    this->listener.Stop();
    std::lock_guard guard(this->lock);
    this->crashed = true;
    for (Connection* connection : this->connections) {
      connection->Abort();
    }
  }

  std::string StampOf(const std::string& aId) const { return this->options.id + ".stamp." + aId; }

  /// A body that only this request has: its id, in records of 16 bytes.
  static std::string BodyOf(const std::string& aId)
  {
    std::string record = (aId + "................").substr(0, 16);
    return record + record;
  }

  std::string UsualAnswer(const Message& aRequest) const
  {
    std::string id = aRequest.Field("Sapphirewind-Request-Id");
    return Reply(200,
                 { { "Sapphirewind-Request-Id", id },
                   { "Sapphirewind-Server-Stamp", this->StampOf(id) },
                   { "Sapphirewind-Server-Load", "1,0," + std::to_string(this->options.slots) },
                   { "Keep-Alive", "timeout=15" } },
                 BodyOf(id));
  }

private:
  void Serve(Connection& aConnection)
  {
    {
      std::lock_guard guard(this->lock);
      this->connections.insert(&aConnection);
    }
    this->ServeRequests(aConnection);
    std::lock_guard guard(this->lock);
    this->connections.erase(&aConnection);
  }

  void ServeRequests(Connection& aConnection)
  {
    while (true) {
      std::optional<Message> request = aConnection.Receive(Clock::now() + std::chrono::seconds(15));
      if (!request) {
        return;
      }
      Behaviour current;
      {
        std::lock_guard guard(this->lock);
        if (this->crashed) {
          return;
        }
        current = this->behaviour;
      }
      std::string id = request->Field("Sapphirewind-Request-Id");
      if (request->Field("Sapphirewind-Target-Instance") != this->options.id) {
        aConnection.Send(
          Reply(421, { { "Sapphirewind-Request-Id", id }, { "Sapphirewind-Not-Executed", "1" } }, ""));
        continue;
      }
      std::optional<std::string> answer = current ? current(*request, aConnection) : std::nullopt;
      if (!answer) {
        this->runs.Add(*request, this->options.id);
        answer = this->UsualAnswer(*request);
      }
      if (answer->empty() || !aConnection.Send(*answer)) {
        return;
      }
    }
  }

  Options options;
  int64_t born;
  Store& store;
  Runs& runs;
  std::mutex lock;
  Behaviour behaviour;
  bool crashed = false;
  std::set<Connection*> connections;
  Listener listener;
};

/// The program of the deploy file as a process of its own.
class Instance
{
public:
  struct Options
  {
    std::string name;
    std::string zone;
    std::string storeAddress;
    std::string folder;
    bool firstStart = true;
    /// Bounds of the small deployment (chimeshare).
    int drainMs = 4000;
    int graceS = 6;
  };

  explicit Instance(Options aOptions)
    : options(std::move(aOptions))
    , front(FreePort())
    , ready(FreePort())
    , metrics(FreePort())
    , peers(FreePort())
  {
    this->settings = this->options.folder + "/" + this->options.name + ".json";
    this->log = this->options.folder + "/" + this->options.name + ".log";
  }
  ~Instance() { this->Kill(); }

  void Kill()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = 0;
    }
  }

  void Start()
  {
    this->WriteSettings();
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("SAPPHIREWIND_CONFIG", this->settings.c_str(), 1);
      int out = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl("target/programs/sapphirewind", "target/programs/sapphirewind", static_cast<char*>(nullptr));
      _exit(127);
    }
  }

  void Signal(int aSignal) { kill(this->pid, aSignal); }

  /// Waits for the end of the process; the status as waitpid has it, or nothing.
  std::optional<int> AwaitEnd(int64_t aMs)
  {
    int64_t until = NowMs() + aMs;
    while (NowMs() < until) {
      int status = 0;
      if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->pid = 0;
        return status;
      }
      SleepMs(5);
    }
    return std::nullopt;
  }
  bool IsRunning()
  {
    int status = 0;
    if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = 0;
      this->endStatus = status;
    }
    return this->pid > 0;
  }
  /// The most memory that the process has had in use so far, in MB.
  long PeakMb() const
  {
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0) {
        return atol(line.c_str() + 6) / 1024;
      }
    }
    return 0;
  }
  int EndStatus() const { return this->endStatus; }

  bool IsReady() const
  {
    auto connection = Connect(this->ready);
    if (!connection || !connection->Send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    auto answer = connection->Receive(Clock::now() + std::chrono::seconds(1));
    return answer && answer->Status() == 200;
  }
  bool AwaitReady(int64_t aMs) const
  {
    int64_t until = NowMs() + aMs;
    while (NowMs() < until) {
      if (this->IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  uint16_t Front() const { return this->front; }
  const std::string& Name() const { return this->options.name; }
  const std::string& LogPath() const { return this->log; }
  void SetFirstStart(bool aFirst) { this->options.firstStart = aFirst; }

private:
  void WriteSettings() const
  {
    std::ofstream file(this->settings);
    file << "{\"instance\":\"" << this->options.name << "\",\"zone\":\"" << this->options.zone
         << "\",\"regions\":{\"bay-a\":\"bay-coast\",\"granite-a\":\"granite-north\",\"river-a\":\"river-west\"},"
         << "\"listen_callers\":\"" << Loopback(this->front) << "\",\"listen_status\":\"" << Loopback(this->ready)
         << "\",\"listen_metrics\":\"" << Loopback(this->metrics) << "\",\"listen_peers\":\""
         << Loopback(this->peers) << "\",\"store\":\"" << this->options.storeAddress << "\",\"first_start\":"
         << (this->options.firstStart ? "true" : "false")
         << ",\"max_descriptors\":4100,\"extra_share\":0.2,\"extra_minimum\":52,\"extra_window\":\"10s\","
         << "\"stability_window\":\"5000ms\",\"drain\":\"" << this->options.drainMs << "ms\",\"stop_within\":\""
         << this->options.graceS << "s\"}\n";
  }

  Options options;
  uint16_t front;
  uint16_t ready;
  uint16_t metrics;
  uint16_t peers;
  std::string settings;
  std::string log;
  pid_t pid = 0;
  int endStatus = 0;
};

/// A request of a client, as text.
inline std::string
Request(const std::string& aMethod,
        const std::string& aHost,
        const std::string& aTarget,
        const std::string& aId,
        int aDeadlineMs,
        const std::string& aBody = "",
        const std::string& aMoreFields = "")
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\nSapphirewind-Request-Id: " + aId +
                     "\r\nSapphirewind-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" + aMoreFields;
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline bool
HasTrouble()
{
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || strcmp(trouble, "0") != 0;
}

/// A folder for settings and logs, in the folder for temporary files.
inline std::string
TemporaryFolder()
{
  const char* base = getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    perror("mkdtemp");
    exit(kCannotRun);
  }
  return path;
}

/// Ends the run at once, with the processes that were started and the folder for their files; threads may still wait.
inline void
Finish(int aCode, const std::vector<Instance*>& aInstances, const std::string& aFolder)
{
  for (Instance* instance : aInstances) {
    instance->Kill();
  }
  std::error_code ignored; // The folder is in the one for temporary files.
  std::filesystem::remove_all(aFolder, ignored);
  _exit(aCode);
}

constexpr const char* kLimits = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                                "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

} // namespace standin
