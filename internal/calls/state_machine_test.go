package calls

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestAnswersOfOneMoment guards against calls that were admitted together and end with large answers, which the table of records keeps without
// a limit, and against a small answer that is lost with them.
func TestAnswersOfOneMoment(t *testing.T) {
	const limit, count = 8 << 20, 300
	m := &stateMachine{table: newRecordTable(), maxAnswerBytes: limit}
	for i := range count {
		r := m.table.addRecord(fmt.Sprint(i), testAccount, [32]byte{}, time.Now().Add(time.Hour))
		size := maxAnswerBodyBytes
		if i%2 == 0 {
			size = smallAnswerBytes
		}
		m.finish(r, result{answer: pond.Answer{Body: make([]byte, size)}})
		if small := size == smallAnswerBytes; small && r.result.refusal != nil {
			t.Errorf("answer %d of %d bytes is not kept: %v", i, size, r.result.refusal)
		}
		if r.result.refusal != nil && r.result.refusal.Run() != pond.RunYes {
			t.Errorf("call %d has run, and its refusal says %v", i, r.result.refusal.Run())
		}
	}
	if most := int64(2*limit + count*smallAnswerBytes); m.table.answerBytes > most {
		t.Errorf("%d bytes are kept, want at most %d", m.table.answerBytes, most)
	}
}
