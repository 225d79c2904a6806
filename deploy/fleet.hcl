# What the platform's gateways run with (deploy/balancer.toml): zone failover with its defaults.
# docs/ops/sites.md says what each setting means.

sites {}
