package clusterconfig

import (
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	cuejson "cuelang.org/go/encoding/json"
)

// schema is the CUE schema of a configuration. #Lane defines a Route; the name is kept
// because error messages contain it.
const schema = `
#Name: string & !=""
#Lane: {
	name:          #Name
	hostName:      #Name
	pathPrefix:    =~"^/"
	kind?:         string
	timeoutMs:     int & >0
	targetMs?:     number & >=0
	priority?:     int & >=0
	targetService?: #Name
	trafficSplit?: [...{
		targetService: #Name
		share:         number & >=0
		...
	}]
	maxTries?:     int & >=0
	stretch?:      number & >=0
	public?:       bool
	...
}
#Tenant: {
	name: #Name
	apiKeys?: [...#Name]
	share?: number & >=0
	upperLimit?: {
		cpuUnits?: int & >=0
		memMb?:    int & >=0
		gpus?:     int & >=0
		...
	}
	...
}
#Service: {
	name:    #Name
	guards?: bool
	...
}
configVersion: int & >0
routeList: [...#Lane]
serviceList: [...#Service]
tenantList?: [...#Tenant]
limits?: {
	maxHeaderBytes?:  int & >=0
	maxBodyBytes?:    int & >=0
	headerTimeoutMs?: int & >=0
	idleTimeoutMs?:   int & >=0
	...
}
...
`

var compileSchema = sync.OnceValues(func() (*cue.Context, cue.Value) {
	c := cuecontext.New()
	return c, c.CompileString(schema)
})

// schemaMu guards the compiled schema: a CUE context is not safe for concurrent
// use.
var schemaMu sync.Mutex

// Validate checks a configuration against the schema. The error is of class Error.
func Validate(raw []byte) error {
	schemaMu.Lock()
	defer schemaMu.Unlock()
	cueContext, compiled := compileSchema()
	expression, err := cuejson.Extract("configuration", raw)
	if err != nil {
		return Error.New("%s", errors.Details(err, nil))
	}
	unified := compiled.Unify(cueContext.BuildExpr(expression))
	if err := unified.Validate(cue.Concrete(true)); err != nil {
		return Error.New("%v", err)
	}
	return nil
}
