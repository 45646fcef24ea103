package delegator

import (
	"testing"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

func TestMain(m *testing.M) { scripter.RunSeeded(m) }
