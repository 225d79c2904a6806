package casekit

// This file has the deployment that the cases follow, with its settings in the form of the configuration. Times are in
// microseconds.

// Deployment is what a gateway of a deployment is told.
type Deployment struct {
	Zones    []string
	Kind     string                        // of its engines
	Settings func(settings map[string]any) // turns the settings of the example into those of the deployment
}

// VancouverMain has the classes, limits and figures of the deployment of that name. Load reports are off, since the
// engines of the cases send none.
var VancouverMain = Deployment{Zones: []string{vancouverZone}, Kind: vancouverKind, Settings: setVancouverMain}

const (
	vancouverZone = "bby-1"
	vancouverKind = "std-12"
)

const second = 1_000_000

func setVancouverMain(settings map[string]any) {
	settings["classes"] = []any{
		map[string]any{"name": "lookup", "aim": 1.5 * second, "aimStretch": 1.5, "giveUp": 7.5 * second, "effect": "pure",
			"group": "all", "lateValue": 0.3, "worth": 1},
		map[string]any{"name": "report", "aim": 2 * second, "aimStretch": 2.5, "giveUp": 25 * second, "effect": "pure",
			"group": "all", "lateValue": 0.3, "worth": 5},
		map[string]any{"name": "load", "aim": 3 * second, "aimStretch": 2.5, "giveUp": 20 * second, "effect": "token",
			"group": "all", "dedupWindow": 12 * second, "serialByKey": true, "lateValue": 0.3, "worth": 5},
	}
	settings["extra"] = map[string]any{"classThreads": []int{1, 4, 2}, "cpuOfKind": []int{12}, "ramOfKindMb": []int{24576},
		"isLoad": []bool{false, false, true}, "yieldsToLoads": []bool{true, false, false}, "mostGrant": 0.4,
		"takesGrants": false, "ranksHeeded": false, "tellsCost": true, "onShortage": "shrink"}
	settings["limits"] = map[string]any{"cancel": true, "connIdle": 30 * second, "connectTimeout": 250_000, "maxAttempts": 6,
		"maxOpen": 20000, "multiplex": 100, "parallelTries": false, "probes": false, "retryAfter": true}
	settings["rules"] = map[string]any{"answerSlack": 5000, "cold": 15 * second, "coldFrom": 0.31, "overloadFactor": 3,
		"stopSendingWithin": 1 * second, "tipAfter": 3 * second, "keyRest": 500_000}
	settings["machineTypes"], settings["zones"] = []string{vancouverKind}, []string{vancouverZone}
	settings["report"] = map[string]any{"how": "silent"}
}
