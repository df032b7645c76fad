/// @file Prints the results of bench/measure as one table, with the median, minimum and maximum
/// over the seeds.
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

DEFINE_string(folder, "build/measurements", "The folder with the files SCENARIO-SEED.json.");

namespace {

using namespace sapphirewind;

/// The median and range of one metric over several runs.
class RunStatistics
{
public:
  void Add(double aValue) { this->values.push_back(aValue); }

  /// Formats the values as "MEDIAN (MIN-MAX)".
  std::string Format(int aDigits) const
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
  RunStatistics p50;
  RunStatistics p99;
  RunStatistics ratio;
  RunStatistics coverage;
  RunStatistics goodput;
  RunStatistics inTarget;
  RunStatistics refusedShare;
  RunStatistics refusedP99;
  RunStatistics extra;
  size_t runs = 0;
};

struct Key
{
  std::string scenario;
  std::string className;

  auto operator<=>(const Key&) const = default;
};

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void
AddRun(const std::string& aScenario, const Json::Value& aResult, std::map<Key, Row>& aRows)
{
  for (const Json::Value& entry : aResult["classes"]) {
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
    row.extra.Add(100.0 * aResult["upstream"]["extra_share"].asDouble());
    ++row.runs;
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("prints the results of bench/measure as one Markdown table");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::map<Key, Row> rows;
  for (const auto& entry : std::filesystem::directory_iterator(FLAGS_folder)) {
    std::string fileStem = entry.path().stem().string();
    std::optional<Json::Value> result = document::ParseMessage(ReadFile(entry.path()));
    if (entry.path().extension() == ".json" && result) {
      AddRun(fileStem.substr(0, fileStem.rfind('-')), *result, rows);
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
                row.p50.Format(0).c_str(),
                row.p99.Format(0).c_str(),
                row.ratio.Format(2).c_str(),
                row.coverage.Format(4).c_str(),
                row.goodput.Format(0).c_str(),
                row.inTarget.Format(1).c_str(),
                row.refusedShare.Format(1).c_str(),
                row.refusedP99.Format(0).c_str(),
                row.extra.Format(1).c_str());
  }
  return 0;
}
