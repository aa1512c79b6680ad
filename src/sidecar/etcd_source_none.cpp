// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd_source.h"

namespace ivypost {

Sidecar::MakeEtcd etcdSource() {
  return {};
}

}  // namespace ivypost
