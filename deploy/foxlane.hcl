# The operator's own file: a block a subsystem, off without it. foxlane serve --site deploy/foxlane.hcl
# reads it at the start and on SIGHUP; foxlane check --site deploy/foxlane.hcl says what holds, with all
# defaults. docs/ops/ has a page a block.

fair {
  any_tenant = false
  weight     = 1
  ahead      = 4
  burst      = "100ms"
  longest    = "30s"

  # network "offices" {
  #   addresses = ["10.1.0.0/16", "2001:db8::/32"]
  #   weight    = 2
  # }
  # tenant "coop-a" {
  #   weight   = 4
  #   networks = ["offices"]
  # }
}
