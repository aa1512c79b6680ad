// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/options.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace ivypost::gossip {
namespace {

// The error for invalid options is one line with the key and the remedy; valid options yield no error.
TEST(Options, DescribeAnInvalidValueInOneLine) {
  const struct {
    const char* what;
    std::function<void(Options&)> change;
    const char* flaw;  // expected error; null: the options are valid
  } rows[] = {
      {"the defaults and a key", [](Options&) {}, nullptr},
      {"no key", [](Options& o) { o.keyFile = ""; },
       "key_file is missing: a file of 64 hexadecimal digits, the same everywhere"},
      {"an address without a port", [](Options& o) { o.address = "10.0.0.4"; },
       "address: '10.0.0.4' is no address as 10.0.0.4:7946"},
      {"a host name to listen at", [](Options& o) { o.listen = "here:1"; },
       "listen: 'here:1' is no address as 10.0.0.4:7946"},
      {"an empty seed",
       [](Options& o) {
         o.seeds = {"10.0.0.4:7946", ""};
       },
       "seeds: '' is no address as 10.0.0.4:7946"},
      {"a time-out as long as the period", [](Options& o) { o.timeout = o.period; },
       "timeout has to be under period"},
      {"an isolatedAfter under four periods", [](Options& o) { o.isolatedAfter = 4 * o.period - 1; },
       "deaf_after has to be at least four times period"},
      {"a region and how many are in it", [](Options& o) { o.region = 63, o.regionSidecars = 1; }, nullptr},
      {"a region alone", [](Options& o) { o.region = 2; },
       "region_sidecars is missing: how many sidecars there should be in this one's region, as 330"},
      {"sidecars of the region without a region", [](Options& o) { o.regionSidecars = 6; },
       "region_sidecars counts for nothing without region; set region, 1 to 63, or leave both out"},
      {"the fewest bytes", [](Options& o) { o.bytesPerSecond = kMinBytesPerSecond; }, nullptr},
  };
  for (const auto& row : rows) {
    Options options;
    options.keyFile = "k";
    row.change(options);
    const auto flaw = flawOf(options);
    EXPECT_EQ(flaw.value_or("none"), row.flaw == nullptr ? "none" : row.flaw) << row.what;
  }
}

}  // namespace
}  // namespace ivypost::gossip
