// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "operator/file.h"

#include <map>
#include <optional>
#include <sstream>

#include "configfile/table.h"
#include "operator/keys.h"

namespace ivypost::op {
namespace {

using configfile::Table;

// The tables of a document by their dotted names, each asked for once, so that each knows all of its keys.
class Sections {
 public:
  explicit Sections(Table root) { tables_.emplace("", std::move(root)); }

  // None: the document has no such table.
  std::optional<Table>& at(const std::string& name) {
    const auto found = tables_.find(name);
    if (found != tables_.end()) return found->second;
    const auto dot = name.rfind('.');
    const std::string parent = dot == std::string::npos ? "" : name.substr(0, dot);
    auto& above = at(parent);
    std::optional<Table> own;
    if (above) own = above->table(std::string_view(name).substr(dot == std::string::npos ? 0 : dot + 1));
    return tables_.emplace(name, std::move(own)).first->second;
  }

  void finish() const {
    for (const auto& [name, table] : tables_) {
      if (table) table->finish();
    }
  }

 private:
  std::map<std::string, std::optional<Table>> tables_;
};

File read(const configfile::Document& document) {
  File file;
  Sections sections(document.root());
  for (const Key& key : keys()) {
    auto& table = sections.at(std::string(key.section()));
    if (table) key.read(file, *table, key.leaf());
  }
  sections.finish();
  const auto fail = [&](const char* section, const std::string& why) {
    if (auto& table = sections.at(section)) table->fail("", why);
    document.root().fail("", why);
  };
  if (const auto error = degradation::validate(file.degradation.settings))
    fail("levels", degradation::describe(*error));
  if (file.membership.source == File::Membership::Source::Etcd) {
    if (const auto flaw = etcd::flawOf(file.membership.etcd)) fail("membership", "etcd." + *flaw);
  }
  if (file.peers.on) {
    if (const auto flaw = peers::flawOf(file.peers)) fail("peers", *flaw);
  }
  if (file.door.keepUsed < file.door.keepAny) fail("door", "keep_used has to be no less than keep_any");
  if (file.admission.figures.interval < file.admission.figures.targetDelay)
    fail("admission", "interval has to be no less than target");
  return file;
}

}  // namespace

File read(const std::string& path) {
  return read(configfile::Document::read(path));
}

File parse(std::string_view text, const std::string& name) {
  return read(configfile::Document::parse(text, name));
}

std::string example() {
  const File defaults;
  std::ostringstream out;
  out << "# The operator's own file, with every key at its default: ivypost --operator FILE. Read again at "
         "SIGHUP, "
         "whole\n# or not at all. What is not named here is the platform's.\n";
  std::string_view section;
  for (const Key& key : keys()) {
    const std::string value = key.show(defaults);
    if (value.empty()) continue;
    if (key.section() != section) {
      section = key.section();
      out << "\n[" << section << "]\n";
    }
    std::istringstream lines(key.text);
    for (std::string line; std::getline(lines, line);) out << "# " << line << "\n";
    out << key.leaf() << " = " << value << "\n";
  }
  return out.str();
}

}  // namespace ivypost::op
