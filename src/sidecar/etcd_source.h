// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The one place where the two programs differ: ivypost is built without etcd, ivypost-etcd with it.
#ifndef IVYPOST_ETCD_SOURCE_FACTORY_H_
#define IVYPOST_ETCD_SOURCE_FACTORY_H_

#include "sidecar.h"

namespace ivypost {

// Empty in ivypost.
Sidecar::MakeEtcd etcdSource();

}  // namespace ivypost

#endif  // IVYPOST_ETCD_SOURCE_FACTORY_H_
