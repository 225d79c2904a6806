# One of three zones is lost for 4 s, engines and gateways, and comes back with cold engines.
#   go run ./cmd/foxlab rig example/rig/lost.hcl

zone "hall-a" {
  gateways = 2
  engines  = 2
}
zone "hall-b" {
  gateways = 2
  engines  = 2
}
zone "hall-c" {
  gateways = 2
  engines  = 2
}

cores  = 8
load   = 0.5
length = "16s"
cold   = "6s"

operator = <<E
sites {
  ramp = "4s"
}
E

fault "lose" {
  of       = "hall-a"
  at       = "3s"
  for      = "4s"
  unlisted = "2s"
}
