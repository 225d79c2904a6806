# What the platform's gateways run with (deploy/balancer.toml): the plan for the loss of a zone, as its defaults
# have it. docs/ops/sites.md says what each figure means.

sites {}
