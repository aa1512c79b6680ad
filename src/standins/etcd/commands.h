// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The stand-in's commands, one a line: what ivyetcd takes on its standard input.
#ifndef IVYPOST_STANDINS_ETCD_COMMANDS_H_
#define IVYPOST_STANDINS_ETCD_COMMANDS_H_

#include <string>

#include "standins/etcd/cluster.h"

namespace ivypost::standins::etcd {

// Carries the line out and returns what is to be printed, one line or more. Members are numbered from 1.
// Throws std::runtime_error, one line, for one that is not a command or lacks something; then nothing was
// done.
std::string command(Cluster& cluster, std::size_t members, const std::string& line);

// All of them, a line each.
std::string commandHelp();

}  // namespace ivypost::standins::etcd

#endif  // IVYPOST_STANDINS_ETCD_COMMANDS_H_
