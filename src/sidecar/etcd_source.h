// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The only difference between the two programs: ivypost is built without etcd, ivypost-etcd with it.
#ifndef IVYPOST_ETCD_SOURCE_FACTORY_H_
#define IVYPOST_ETCD_SOURCE_FACTORY_H_

#include "sidecar.h"

namespace ivypost {

/// The factory of the etcd discovery source; empty in ivypost.
Sidecar::MakeEtcd etcdSource();

}  // namespace ivypost

#endif  // IVYPOST_ETCD_SOURCE_FACTORY_H_
