/// Runs a TCP relay as a process, with an HTTP control interface.
#include <csignal>
#include <document/Document.h>
#include <fakes/Relay.h>
#include <gflags/gflags.h>
#include <iostream>
#include <net/Server.h>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:7200", "The address and port to listen on.");
DEFINE_string(target, "127.0.0.1:7000", "The address and port to relay connections to.");
DEFINE_string(control, "127.0.0.1:7201", "The address and port of the control interface.");
DEFINE_double(delay_ms, 0.0, "The delay added in each direction, in milliseconds.");

int
main(int aCount, char** aArguments)
{
  using namespace sapphirewind;
  gflags::SetUsageMessage(
    "TCP relay that delays, holds or cuts connections, for tests and benchmarks");
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  net::Endpoint listen;
  net::Endpoint target;
  net::Endpoint control;
  if (!net::ParseEndpoint(FLAGS_listen, listen) || !net::ParseEndpoint(FLAGS_target, target) ||
      !net::ParseEndpoint(FLAGS_control, control)) {
    std::cerr << "fake-relay: addresses must be IP:PORT\n";
    return 2;
  }
  fakes::Relay relay(listen, target);
  relay.SetDelay(base::FromFractionalMillis(FLAGS_delay_ms));
  if (std::error_code error = relay.Start()) {
    std::cerr << "fake-relay: " << FLAGS_listen << ": " << error.message() << "\n";
    return 1;
  }
  net::Server server(net::ServerOptions{ .listen = control });
  server.Route("POST", "/control/link", [&](const net::Request& aRequest) {
    std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
    if (!body || !body->isObject()) {
      return net::Response{ .status = 400, .body = "{}" };
    }
    if (body->isMember("delay_ms")) {
      relay.SetDelay(base::FromFractionalMillis((*body)["delay_ms"].asDouble()));
    }
    if (body->isMember("hold")) {
      relay.SetHold((*body)["hold"].asBool());
    }
    if (body->isMember("cut")) {
      relay.SetCut((*body)["cut"].asBool());
    }
    return net::Response{ .status = 200, .body = "{}" };
  });
  if (std::error_code error = server.Start()) {
    std::cerr << "fake-relay: " << FLAGS_control << ": " << error.message() << "\n";
    return 1;
  }
  pause();
  return 0;
}
