// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Fault plans as TOML; docs/operators/fault-injection.md has the form. Whole or not at all.
#ifndef IVYPOST_FAULT_PLAN_READER_H_
#define IVYPOST_FAULT_PLAN_READER_H_

#include <string>
#include <string_view>

#include "configuration/toml_table.h"
#include "fault/plan.h"

namespace ivypost::fault {

// All throw configuration::Error, whose text is one line with file, line, key and what is allowed.
Plan readPlan(const std::string& path);
Plan parsePlan(std::string_view text, const std::string& name);
Plan readPlan(configuration::Table& table);  // a plan within another file; doesn't call table.finish()

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_PLAN_READER_H_
