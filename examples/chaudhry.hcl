# Chaudhry Cheque Print Services: cheque books for banks. Each move of an
# instance puts an order of the audited quarter at risk, so moves are expensive.

data_centre "gulberg" {
  rack "r1" {
    pool = "accounts"
    instances = {
      "accounts-01" = "10.30.1.10:8080"
      "accounts-05" = "10.30.1.11:8080"
      "accounts-09" = "10.30.1.12:8080"
    }
    instance "signatures-04" {
      address = "10.30.1.13:8080"
      pool    = "signatures"
    }
  }
  rack "r2" {
    pool = "signatures"
    instances = {
      "signatures-08" = "10.30.1.14:8080"
      "signatures-12" = "10.30.1.15:8080"
    }
    instance "validation-03" {
      address = "10.30.1.16:8080"
      pool    = "validation"
    }
    instance "validation-07" {
      address = "10.30.1.17:8080"
      pool    = "validation"
    }
  }
  rack "r3" {
    pool = "layout"
    instances = {
      "layout-02" = "10.30.1.18:8080"
      "layout-06" = "10.30.1.19:8080"
      "layout-10" = "10.30.1.20:8080"
    }
    instance "print-01" {
      address = "10.30.1.21:8080"
      pool    = "print"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-04" = "10.30.1.23:8080"
      "spare-08" = "10.30.1.24:8080"
    }
    instance "print-05" {
      address = "10.30.1.22:8080"
      pool    = "print"
    }
  }
}

data_centre "johar" {
  rack "r1" {
    pool = "accounts"
    instances = {
      "accounts-02" = "10.30.2.10:8080"
      "accounts-06" = "10.30.2.11:8080"
      "accounts-10" = "10.30.2.12:8080"
    }
    instance "signatures-01" {
      address = "10.30.2.13:8080"
      pool    = "signatures"
    }
  }
  rack "r2" {
    pool = "signatures"
    instances = {
      "signatures-05" = "10.30.2.14:8080"
      "signatures-09" = "10.30.2.15:8080"
    }
    instance "validation-04" {
      address = "10.30.2.16:8080"
      pool    = "validation"
    }
    instance "validation-08" {
      address = "10.30.2.17:8080"
      pool    = "validation"
    }
  }
  rack "r3" {
    pool = "layout"
    instances = {
      "layout-03" = "10.30.2.18:8080"
      "layout-07" = "10.30.2.19:8080"
    }
    instance "print-02" {
      address = "10.30.2.20:8080"
      pool    = "print"
    }
    instance "print-06" {
      address = "10.30.2.21:8080"
      pool    = "print"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-01" = "10.30.2.22:8080"
      "spare-05" = "10.30.2.23:8080"
    }
  }
}

data_centre "raiwind" {
  rack "r1" {
    pool = "accounts"
    instances = {
      "accounts-03" = "10.30.3.10:8080"
      "accounts-07" = "10.30.3.11:8080"
    }
    instance "signatures-02" {
      address = "10.30.3.12:8080"
      pool    = "signatures"
    }
    instance "signatures-06" {
      address = "10.30.3.13:8080"
      pool    = "signatures"
    }
  }
  rack "r2" {
    pool = "validation"
    instances = {
      "validation-01" = "10.30.3.15:8080"
      "validation-05" = "10.30.3.16:8080"
      "validation-09" = "10.30.3.17:8080"
    }
    instance "signatures-10" {
      address = "10.30.3.14:8080"
      pool    = "signatures"
    }
  }
  rack "r3" {
    pool = "layout"
    instances = {
      "layout-04" = "10.30.3.18:8080"
      "layout-08" = "10.30.3.19:8080"
    }
    instance "print-03" {
      address = "10.30.3.20:8080"
      pool    = "print"
    }
    instance "print-07" {
      address = "10.30.3.21:8080"
      pool    = "print"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-02" = "10.30.3.22:8080"
      "spare-06" = "10.30.3.23:8080"
    }
  }
}

data_centre "shahdara" {
  rack "r1" {
    pool = "accounts"
    instances = {
      "accounts-04" = "10.30.4.10:8080"
      "accounts-08" = "10.30.4.11:8080"
    }
    instance "signatures-03" {
      address = "10.30.4.12:8080"
      pool    = "signatures"
    }
    instance "signatures-07" {
      address = "10.30.4.13:8080"
      pool    = "signatures"
    }
  }
  rack "r2" {
    pool = "validation"
    instances = {
      "validation-02" = "10.30.4.15:8080"
      "validation-06" = "10.30.4.16:8080"
      "validation-10" = "10.30.4.17:8080"
    }
    instance "signatures-11" {
      address = "10.30.4.14:8080"
      pool    = "signatures"
    }
  }
  rack "r3" {
    pool = "layout"
    instances = {
      "layout-01" = "10.30.4.18:8080"
      "layout-05" = "10.30.4.19:8080"
      "layout-09" = "10.30.4.20:8080"
    }
    instance "print-04" {
      address = "10.30.4.21:8080"
      pool    = "print"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-03" = "10.30.4.23:8080"
      "spare-07" = "10.30.4.24:8080"
    }
    instance "print-08" {
      address = "10.30.4.22:8080"
      pool    = "print"
    }
  }
}

pool "accounts" {
  slots       = 8
  connections = 64
}

pool "signatures" {
  slots       = 8
  connections = 64
}

pool "validation" {
  slots       = 8
  connections = 64
}

pool "layout" {
  slots       = 8
  connections = 64
}

pool "print" {
  slots       = 8
  connections = 64
}

pool "spare" {
  spare = true
  slots       = 8
  connections = 64
}

service "account-lookup" {
  pool         = "accounts"
  availability = 0.9999
  time_limit   = "2s"
  demand       = 16
}

service "signature-check" {
  pool         = "signatures"
  availability = 0.9999
  time_limit   = "3s"
  demand       = 24
}

service "order-validation" {
  pool         = "validation"
  depends_on   = ["account-lookup", "signature-check"]
  availability = 0.9995
  urgent       = true
  time_limit   = "5s"
  demand       = 16
}

service "cheque-layout" {
  pool         = "layout"
  depends_on   = ["order-validation"]
  availability = 0.999
  time_limit   = "15s"
  demand       = 18
}

# If an order is printed twice, two books have the same serial numbers.
service "print-run" {
  pool         = "print"
  depends_on   = ["cheque-layout"]
  availability = 0.998
  idempotent   = false
  time_limit   = "30s"
  demand       = 12
}

member "ravi-bank" {
  weight = 5
  quota  = 0
}

member "khyber-bank" {
  weight = 2
  quota  = 96
}

member "sutlej-bank" {
  weight = 2
  quota  = 96
}

member "mobile-apps" {
  weight = 1
  quota  = 48
}

prices {
  buffer = 1
  move   = 25
}

maintenance {
  drain_limit = "60s"
  max_step    = 2
  probation   = "20s"
}
