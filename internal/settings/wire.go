package settings

// wireClass is a class in the settings object.
type wireClass struct {
	LatencyObjective int64   `json:"aim"`
	ObjectiveStretch float64 `json:"aimStretch"`
	DedupWindow      int64   `json:"dedupWindow"`
	Idempotency      string  `json:"effect"`
	ClientTimeout    int64   `json:"giveUp"`
	DedupScope       string  `json:"group"`
	LateValue        float64 `json:"lateValue"`
	Name             string  `json:"name"`
	Stream           bool    `json:"stream"`
	PriorityWeight   float64 `json:"worth"`
	Ordered          bool    `json:"serialByKey"`
	AllowedZones     []int   `json:"staysIn"`
	AllowedKinds     []int   `json:"machineTypesAllowed"`
}

// wireSettings is the settings object. The tags are its keys; the fields have the names that package rules uses.
type wireSettings struct {
	Classes []wireClass `json:"classes"`
	Clients struct {
		MarksRetries bool `json:"marksRetry"`
	} `json:"clients"`
	Extra struct {
		ClassThreads      []int     `json:"classThreads"`
		KindCores         []float64 `json:"cpuOfKind"`
		KindMemoryMB      []float64 `json:"ramOfKindMb"`
		IsDataLoad        []bool    `json:"isLoad"`
		BlockedByDataLoad []bool    `json:"yieldsToLoads"`
		MaxGrantFraction  float64   `json:"mostGrant"`
		Overcommit        string    `json:"onShortage"`
		AcceptsPriority   bool      `json:"ranksHeeded"`
		AcceptsGrants     bool      `json:"takesGrants"`
		ReportsCost       bool      `json:"tellsCost"`
	} `json:"extra"`
	Penalties struct {
		CrossZone   float64 `json:"crossZone"`
		LateFailure float64 `json:"lateFail"`
		PeerMessage float64 `json:"peer"`
		Probe       float64 `json:"probe"`
		WastedWork  float64 `json:"waste"`
	} `json:"fees"`
	Limits struct {
		Cancel            bool  `json:"cancel"`
		EngineIdleTimeout int64 `json:"connIdle"`
		ConnectTimeout    int64 `json:"connectTimeout"`
		MaxAttempts       int   `json:"maxAttempts"`
		MaxOpenRequests   int   `json:"maxOpen"`
		MaxRetryAfter     int64 `json:"maxRetryAfter"`
		Multiplex         int   `json:"multiplex"`
		HedgedRequests    bool  `json:"parallelTries"`
		PeerMessages      bool  `json:"peerMessages"`
		Probes            bool  `json:"probes"`
		RetryAfter        bool  `json:"retryAfter"`
	} `json:"limits"`
	Kinds           []string `json:"machineTypes"`
	GatewayIndex    int      `json:"me"`
	MembershipMode  string   `json:"membershipMode"`
	OverQuotaWeight float64  `json:"overShareWorth"`
	Tenants         []struct {
		Fraction  float64 `json:"fraction"`
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"parties"`
	LoadReport struct {
		Fields []string `json:"fields"`
		Mode   string   `json:"how"`
	} `json:"report"`
	Constraints struct {
		DeadlineSlack         int64    `json:"answerSlack"`
		PollInterval          int64    `json:"askEvery"`
		SlowStartPeriod       int64    `json:"cold"`
		SlowStartInitialSpeed float64  `json:"coldFrom"`
		RetryBudgetRatio      *float64 `json:"extraPerRequest"`
		RetryBudgetMin        *float64 `json:"freeResends"`
		KeyQuarantine         int64    `json:"keyRest"`
		RetryBudgetWindow     int64    `json:"lookBack"`
		OverloadFactor        float64  `json:"overloadFactor"`
		DrainGrace            int64    `json:"stopSendingWithin"`
		OverloadWindow        int64    `json:"tipAfter"`
	} `json:"rules"`
	Gateways     int      `json:"siblings"`
	Tick         int64    `json:"tick"`
	WeightSource string   `json:"weightSource"`
	Zone         int      `json:"zone"`
	ZoneNames    []string `json:"zones"`
}
