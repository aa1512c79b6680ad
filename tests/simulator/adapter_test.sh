#!/bin/sh
# The adapter answers unusual but valid input, and exits with a one-line error on malformed input.
adapter=$1
failures=0

create='create i=1 entropy=5 classes.count=1 classes.0.name=a classes.0.aim=100000 classes.0.deadline=200000 classes.0.semantics=free zones=z locality=z skus=k'
list='sheet sheet=0 lines=1
entry upstream=10.0.0.1:90 locality=z hw=k group=0 mode=SERVING size=1
registry i=1 mode=SAVED generation=1 sheet=0'

accepts() {
  if ! printf '%s\n' "$2" | "$adapter" >/tmp/ivypost_adapter_out.$$ 2>&1; then
    echo "FAILED: $1 was rejected: $(cat /tmp/ivypost_adapter_out.$$)"
    failures=$((failures + 1))
  elif ! grep -q "$3" /tmp/ivypost_adapter_out.$$; then
    echo "FAILED: $1: no '$3' in the reply"
    failures=$((failures + 1))
  fi
  rm -f /tmp/ivypost_adapter_out.$$
}

rejects() {
  if printf '%s\n' "$2" | "$adapter" >/dev/null 2>/tmp/ivypost_adapter_err.$$; then
    echo "FAILED: $1 was accepted"
    failures=$((failures + 1))
  elif ! grep -q "line [0-9]*: .*$3" /tmp/ivypost_adapter_err.$$; then
    echo "FAILED: $1: message was: $(cat /tmp/ivypost_adapter_err.$$)"
    failures=$((failures + 1))
  fi
  rm -f /tmp/ivypost_adapter_err.$$
}

accepts 'an empty batch' 'mark now=5
go' '^end$'
accepts 'a request' "mark now=5
$create new.key=7
$list
ingress i=1 job=00000000000000ff category=a expiresIn=100000 odd=1
go" '^call_out i=1 job=00000000000000ff upstream=10.0.0.1:90$'
accepts 'create and shutdown in one batch' "mark now=5
$create
$list
shutdown i=1
$create
$list
go" '^end$'
accepts 'a late withdrawal' "mark now=5
$create
$list
withdrawn i=1 job=00000000000000ff
go" '^end$'

rejects 'an unknown message' 'mark now=5
hello i=1
go' 'unknown instance'
rejects 'a batch without a clock' 'mark
go' 'missing value'
rejects 'a clock that is no number' 'mark now=soon' 'no integer'
rejects 'a clock that goes back' 'mark now=9
go
mark now=8
go' 'went back'
rejects 'a line outside a batch' 'ingress i=1' 'outside a batch'
rejects 'an unknown instance' 'mark now=5
withdrawn i=4 job=00000000000000ff
go' 'unknown instance'
rejects 'an unknown sheet' "mark now=5
$create
registry i=1 mode=FULL generation=1 sheet=3
go" 'unknown sheet'
rejects 'a short id' "mark now=5
$create
$list
withdrawn i=1 job=ff
go" '16 digits'
rejects 'an unknown class' "mark now=5
$create
$list
ingress i=1 job=00000000000000ff category=b expiresIn=1
go" 'not in the settings'
rejects 'settings without classes' 'mark now=5
create i=1 entropy=5
go' 'classes.count'
rejects 'input that ends inside a batch' 'mark now=5' 'inside a batch'
rejects 'a request before the first list' "mark now=5
$create
ingress i=1 job=00000000000000ff category=a expiresIn=1
go" 'before the first list'
rejects 'a pair without a name' 'mark =5' 'name=value'

if [ "$failures" -eq 0 ]; then echo 'adapter: all cases passed'; fi
exit "$failures"
