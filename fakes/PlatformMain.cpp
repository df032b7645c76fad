/// Runs the fake platform as a process.
#include <csignal>
#include <fakes/PlatformServer.h>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:7000", "The address and port to listen on.");

int
main(int aCount, char** aArguments)
{
  using namespace sapphirewind;
  gflags::SetUsageMessage("fake of the platform's object API, for tests and benchmarks");
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  net::Endpoint listen;
  if (!net::ParseEndpoint(FLAGS_listen, listen)) {
    std::cerr << "fake-platform: --listen must be IP:PORT\n";
    return 2;
  }
  fakes::PlatformServer server(listen);
  if (std::error_code error = server.Start()) {
    std::cerr << "fake-platform: " << FLAGS_listen << ": " << error.message() << "\n";
    return 1;
  }
  pause();
  return 0;
}
