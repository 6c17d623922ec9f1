#include "bundle/bundle.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/toml_reader.h"

namespace martenyard::bundle {
namespace {

constexpr std::int64_t kMaxTokens = std::int64_t{1} << 50;
constexpr std::int64_t kMaxCalls = 1000000;
constexpr std::int64_t kMaxSeconds = std::int64_t{400} * 24 * 3600;
constexpr std::int64_t kMaxHistoryBytes = std::int64_t{1} << 30;
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr std::size_t kTokenHashDigits = 64;

bool IsHexadecimal(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

ProgramSpec ReadProgram(const toml::table& table, std::string* fault) {
  TomlReader reader(table, "program", fault);
  ProgramSpec spec;
  spec.name = reader.Text("name", /*required=*/true);
  spec.priority = static_cast<int>(reader.Integer("priority", 0, 9, 5));
  spec.limits.budget_tokens = reader.Integer("budget_tokens", 1, kMaxTokens, 200000);
  spec.limits.max_calls =
      static_cast<std::uint32_t>(reader.Integer("max_calls", 1, kMaxCalls, 200));
  spec.limits.max_wall_ms =
      reader.Integer("max_wall_seconds", 1, kMaxSeconds, 3600) * kMillisPerSecond;
  spec.limits.idle_expiry_ms =
      reader.Integer("idle_expiry_seconds", 1, kMaxSeconds, 900) * kMillisPerSecond;
  spec.limits.max_history_bytes = static_cast<std::uint64_t>(
      reader.Integer("max_history_bytes", 1024, kMaxHistoryBytes, 4 << 20));
  spec.models = reader.Texts("models");
  spec.tools = reader.Texts("tools");
  spec.applications = reader.Texts("applications");
  reader.ReportUnknownKeys();
  return spec;
}

CallerSpec ReadCaller(const toml::table& table, std::string* fault) {
  TomlReader reader(table, "caller", fault);
  CallerSpec spec;
  spec.name = reader.Text("name", /*required=*/true);
  spec.token_hash = reader.Text("token_hash", /*required=*/true);
  if (spec.token_hash.size() != kTokenHashDigits || !IsHexadecimal(spec.token_hash)) {
    reader.ReportError("token_hash", "must be a SHA-256 hash of 64 lower-case hexadecimal digits");
  }
  reader.ReportUnknownKeys();
  return spec;
}

ModelSpec ReadModel(const toml::table& table, std::string* fault) {
  TomlReader reader(table, "model", fault);
  ModelSpec spec;
  spec.name = reader.Text("name", /*required=*/true);
  spec.version = reader.Text("version", /*required=*/true);
  reader.ReportUnknownKeys();
  return spec;
}

AdapterSpec ReadAdapter(const toml::table& table, std::string* fault) {
  TomlReader reader(table, "adapter", fault);
  AdapterSpec spec;
  spec.name = reader.Text("name", /*required=*/true);
  spec.model = reader.Text("model", /*required=*/true);
  spec.version = reader.Text("version", /*required=*/true);
  reader.ReportUnknownKeys();
  return spec;
}

LendSpec ReadLend(const toml::table& table, std::string* fault) {
  TomlReader reader(table, "lend", fault);
  LendSpec spec;
  spec.idle_engines = reader.Boolean("idle_engines", false);
  spec.max_share = reader.Number("max_share", 0.0, 1.0, 1.0);
  reader.ReportUnknownKeys();
  return spec;
}

void CheckProgramNames(const Bundle& bundle, TomlReader& reader) {
  std::set<std::string> names;
  for (const ProgramSpec& program : bundle.programs) {
    if (!names.insert(program.name).second) {
      reader.ReportError("program",
                         "'" + program.name + "' is defined twice; names must be unique");
    }
  }
  if (bundle.programs.empty()) {
    reader.ReportError("program", "at least one [[program]] is required");
  }
}

}  // namespace

bool ProgramSpec::MayCall(ledger::CallKind kind, const std::string& service) const {
  const std::vector<std::string>* allowed = &models;
  if (kind == ledger::CallKind::kTool) {
    allowed = &tools;
  } else if (kind == ledger::CallKind::kApplication) {
    allowed = &applications;
  }
  return std::find(allowed->begin(), allowed->end(), service) != allowed->end();
}

const ProgramSpec* Bundle::FindProgram(const std::string& name) const {
  auto found = std::find_if(programs.begin(), programs.end(),
                            [&](const ProgramSpec& program) { return program.name == name; });
  return found == programs.end() ? nullptr : &*found;
}

bool Bundle::KnowsCaller(const std::string& token_hash) const {
  return std::any_of(callers.begin(), callers.end(),
                     [&](const CallerSpec& caller) { return caller.token_hash == token_hash; });
}

Result<Bundle> ParseBundle(std::string_view text) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return leaf::new_error(
        BundleError{BundleError::Code::kMalformed, "not TOML: " + std::string(error.description()) +
                                                       " in line " +
                                                       std::to_string(error.source().begin.line)});
  }
  std::string fault;
  TomlReader reader(table, "", &fault);
  Bundle bundle;
  bundle.partner = PartnerName(reader.Text("partner", /*required=*/true));
  bundle.version = reader.Text("version", /*required=*/true);
  for (const toml::table* program : reader.Tables("program")) {
    bundle.programs.push_back(ReadProgram(*program, &fault));
  }
  for (const toml::table* model : reader.Tables("model")) {
    bundle.models.push_back(ReadModel(*model, &fault));
  }
  for (const toml::table* adapter : reader.Tables("adapter")) {
    bundle.adapters.push_back(ReadAdapter(*adapter, &fault));
  }
  for (const toml::table* caller : reader.Tables("caller")) {
    bundle.callers.push_back(ReadCaller(*caller, &fault));
  }
  if (const toml::table* lend = reader.Table("lend")) {
    bundle.lend = ReadLend(*lend, &fault);
  }
  reader.ReportUnknownKeys();
  CheckProgramNames(bundle, reader);
  if (!fault.empty()) {
    return leaf::new_error(BundleError{BundleError::Code::kMalformed, fault});
  }
  return bundle;
}

}  // namespace martenyard::bundle
