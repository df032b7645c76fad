/// Puts the results of bench/measure into one table: medians over seeds, with the lowest and
/// highest.
#include <algorithm>
#include <cstdio>
#include <document/Document.h>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sstream>
#include <vector>

DEFINE_string(folder, "build/measurements", "The folder with NAME-SEED.json files.");

namespace {

using namespace sapphirewind;

/// One figure over several runs.
class Spread
{
public:
  void Add(double aValue) { this->values.push_back(aValue); }

  std::string Text(int aDigits) const
  {
    std::vector<double> sorted = this->values;
    std::sort(sorted.begin(), sorted.end());
    char text[96];
    double median = (sorted[(sorted.size() - 1) / 2] + sorted[sorted.size() / 2]) / 2.0;
    std::snprintf(text,
                  sizeof(text),
                  "%.*f (%.*f-%.*f)",
                  aDigits,
                  median,
                  aDigits,
                  sorted.front(),
                  aDigits,
                  sorted.back());
    return text;
  }

private:
  std::vector<double> values;
};

struct Row
{
  Spread p50;
  Spread p99;
  Spread ratio;
  Spread coverage;
  Spread goodput;
  Spread inTarget;
  Spread refusedShare;
  Spread refusedP99;
  Spread extra;
  size_t runs = 0;
};

struct Key
{
  std::string scenario;
  std::string className;

  auto operator<=>(const Key&) const = default;
};

std::string
ReadAll(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void
AddRun(const std::string& aScenario, const Json::Value& aRun, std::map<Key, Row>& aRows)
{
  for (const Json::Value& entry : aRun["classes"]) {
    Row& row = aRows[Key{ .scenario = aScenario, .className = entry["class"].asString() }];
    double sent = std::max(1.0, entry["sent"].asDouble());
    double answered = std::max(1.0, entry["answered"].asDouble());
    row.p50.Add(entry["p50_ms"].asDouble());
    row.p99.Add(entry["p99_ms"].asDouble());
    row.ratio.Add(entry["p99_over_oracle"].asDouble());
    row.coverage.Add(entry["coverage"].asDouble());
    row.goodput.Add(entry["goodput_per_s"].asDouble());
    row.inTarget.Add(100.0 * entry["in_target"].asDouble() / answered);
    row.refusedShare.Add(100.0 * entry["refused"].asDouble() / sent);
    row.refusedP99.Add(entry["refused_p99_ms"].asDouble());
    row.extra.Add(100.0 * aRun["upstream"]["extra_share"].asDouble());
    ++row.runs;
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("prints the results of bench/measure as one table");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::map<Key, Row> rows;
  for (const auto& entry : std::filesystem::directory_iterator(FLAGS_folder)) {
    std::string stem = entry.path().stem().string();
    std::optional<Json::Value> run = document::ParseMessage(ReadAll(entry.path()));
    if (entry.path().extension() == ".json" && run) {
      AddRun(stem.substr(0, stem.rfind('-')), *run, rows);
    }
  }
  std::printf("| scenario | class | runs | p50 ms | p99 ms | p99 / oracle | coverage | goodput/s | "
              "in target %% | refused %% | "
              "refused p99 ms | extra load %% |\n| --- | --- | --- | --- | --- | --- | --- | --- | "
              "--- | --- | --- | --- |\n");
  for (const auto& [key, row] : rows) {
    std::printf("| %s | %s | %zu | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
                key.scenario.c_str(),
                key.className.c_str(),
                row.runs,
                row.p50.Text(0).c_str(),
                row.p99.Text(0).c_str(),
                row.ratio.Text(2).c_str(),
                row.coverage.Text(4).c_str(),
                row.goodput.Text(0).c_str(),
                row.inTarget.Text(1).c_str(),
                row.refusedShare.Text(1).c_str(),
                row.refusedP99.Text(0).c_str(),
                row.extra.Text(1).c_str());
  }
  return 0;
}
