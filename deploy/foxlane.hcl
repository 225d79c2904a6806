# The operator's own file: one block per subsystem, which is off without it. foxlane serve --site deploy/foxlane.hcl
# reads it at the start and on SIGHUP; foxlane check --site deploy/foxlane.hcl prints what is in effect, with all
# defaults. docs/ops/ has a page for each block.

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
