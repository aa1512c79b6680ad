// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The program ivypost-simulator-adapter: speaks the simulator's wire on standard input and output. Exit
// status: 0 at the end of input between batches; 1, with one line on standard error, for invalid input; 1,
// without a line, if standard output can't be written.
#include <cstddef>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  ivypost::simulator::Host host;
  std::string line;
  std::int64_t number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++number;
      if (!host.handle(line)) continue;
      std::cout.write(host.reply().data(), static_cast<std::streamsize>(host.reply().size()));
      if (!std::cout.flush()) return 1;
    }
    if (host.isInBatch()) throw ivypost::simulator::WireError("input ended inside a batch");
  } catch (const std::exception& error) {
    constexpr std::size_t kMaxShownBytes = 120;
    std::cerr << "ivypost-simulator-adapter: line " << number << ": " << error.what() << ": "
              << line.substr(0, kMaxShownBytes) << "\n";
    return 1;
  }
  return 0;
}
