# The Lawa Dredging Consortium: member firms share one planning platform. All of
# them pay for idle spare capacity, so buffer is expensive.

data_centre "angeles" {
  rack "r1" {
    pool = "survey"
    instances = {
      "survey-01" = "10.20.1.10:8080"
      "survey-05" = "10.20.1.11:8080"
      "survey-09" = "10.20.1.12:8080"
    }
    instance "routing-04" {
      address = "10.20.1.13:8080"
      pool    = "routing"
    }
  }
  rack "r2" {
    pool = "barges"
    instances = {
      "barges-03" = "10.20.1.15:8080"
      "barges-07" = "10.20.1.16:8080"
    }
    instance "routing-08" {
      address = "10.20.1.14:8080"
      pool    = "routing"
    }
    instance "permits-02" {
      address = "10.20.1.17:8080"
      pool    = "permits"
    }
  }
  rack "r3" {
    pool = "tenders"
    instances = {
      "tenders-01" = "10.20.1.19:8080"
      "tenders-05" = "10.20.1.20:8080"
      "tenders-09" = "10.20.1.21:8080"
    }
    instance "permits-06" {
      address = "10.20.1.18:8080"
      pool    = "permits"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-04" = "10.20.1.22:8080"
      "spare-08" = "10.20.1.23:8080"
    }
  }
}

data_centre "apalit" {
  rack "r1" {
    pool = "survey"
    instances = {
      "survey-02" = "10.20.2.10:8080"
      "survey-06" = "10.20.2.11:8080"
      "survey-10" = "10.20.2.12:8080"
    }
    instance "routing-01" {
      address = "10.20.2.13:8080"
      pool    = "routing"
    }
  }
  rack "r2" {
    pool = "barges"
    instances = {
      "barges-04" = "10.20.2.16:8080"
      "barges-08" = "10.20.2.17:8080"
    }
    instance "routing-05" {
      address = "10.20.2.14:8080"
      pool    = "routing"
    }
    instance "routing-09" {
      address = "10.20.2.15:8080"
      pool    = "routing"
    }
  }
  rack "r3" {
    pool = "permits"
    instances = {
      "permits-03" = "10.20.2.18:8080"
      "permits-07" = "10.20.2.19:8080"
    }
    instance "tenders-02" {
      address = "10.20.2.20:8080"
      pool    = "tenders"
    }
    instance "tenders-06" {
      address = "10.20.2.21:8080"
      pool    = "tenders"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-01" = "10.20.2.23:8080"
      "spare-05" = "10.20.2.24:8080"
    }
    instance "tenders-10" {
      address = "10.20.2.22:8080"
      pool    = "tenders"
    }
  }
}

data_centre "guagua" {
  rack "r1" {
    pool = "survey"
    instances = {
      "survey-03" = "10.20.3.10:8080"
      "survey-07" = "10.20.3.11:8080"
      "survey-11" = "10.20.3.12:8080"
    }
    instance "routing-02" {
      address = "10.20.3.13:8080"
      pool    = "routing"
    }
  }
  rack "r2" {
    pool = "barges"
    instances = {
      "barges-01" = "10.20.3.16:8080"
      "barges-05" = "10.20.3.17:8080"
    }
    instance "routing-06" {
      address = "10.20.3.14:8080"
      pool    = "routing"
    }
    instance "routing-10" {
      address = "10.20.3.15:8080"
      pool    = "routing"
    }
  }
  rack "r3" {
    pool = "permits"
    instances = {
      "permits-04" = "10.20.3.19:8080"
      "permits-08" = "10.20.3.20:8080"
    }
    instance "barges-09" {
      address = "10.20.3.18:8080"
      pool    = "barges"
    }
    instance "tenders-03" {
      address = "10.20.3.21:8080"
      pool    = "tenders"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-02" = "10.20.3.23:8080"
      "spare-06" = "10.20.3.24:8080"
    }
    instance "tenders-07" {
      address = "10.20.3.22:8080"
      pool    = "tenders"
    }
  }
}

data_centre "mabalacat" {
  rack "r1" {
    pool = "survey"
    instances = {
      "survey-04" = "10.20.4.10:8080"
      "survey-08" = "10.20.4.11:8080"
      "survey-12" = "10.20.4.12:8080"
    }
    instance "routing-03" {
      address = "10.20.4.13:8080"
      pool    = "routing"
    }
  }
  rack "r2" {
    pool = "barges"
    instances = {
      "barges-02" = "10.20.4.15:8080"
      "barges-06" = "10.20.4.16:8080"
      "barges-10" = "10.20.4.17:8080"
    }
    instance "routing-07" {
      address = "10.20.4.14:8080"
      pool    = "routing"
    }
  }
  rack "r3" {
    pool = "permits"
    instances = {
      "permits-01" = "10.20.4.18:8080"
      "permits-05" = "10.20.4.19:8080"
    }
    instance "tenders-04" {
      address = "10.20.4.20:8080"
      pool    = "tenders"
    }
    instance "tenders-08" {
      address = "10.20.4.21:8080"
      pool    = "tenders"
    }
  }
  rack "r4" {
    pool = "spare"
    instances = {
      "spare-03" = "10.20.4.22:8080"
      "spare-07" = "10.20.4.23:8080"
    }
  }
}

pool "survey" {
  slots       = 8
  connections = 64
}

pool "routing" {
  slots       = 8
  connections = 64
}

pool "barges" {
  slots       = 8
  connections = 64
}

pool "permits" {
  slots       = 8
  connections = 64
}

pool "tenders" {
  slots       = 8
  connections = 64
}

pool "spare" {
  spare = true
  slots       = 8
  connections = 64
}

service "sediment-survey" {
  pool         = "survey"
  availability = 0.9995
  urgent       = true
  time_limit   = "5s"
  demand       = 24
}

service "silt-routing" {
  pool         = "routing"
  depends_on   = ["sediment-survey"]
  availability = 0.999
  time_limit   = "5s"
  demand       = 18
}

service "barge-scheduling" {
  pool         = "barges"
  depends_on   = ["silt-routing"]
  availability = 0.998
  time_limit   = "10s"
  demand       = 18
}

# The regulator flags a member that sends a permit twice.
service "permit-filing" {
  pool         = "permits"
  availability = 0.999
  idempotent   = false
  time_limit   = "20s"
  demand       = 12
}

service "tender-planning" {
  pool         = "tenders"
  depends_on   = ["sediment-survey", "silt-routing"]
  availability = 0.995
  time_limit   = "30s"
  demand       = 16
}

member "candaba-dredging" {
  weight = 3
  quota  = 0
}

member "pampanga-silt" {
  weight = 3
  quota  = 0
}

member "macabebe-barges" {
  weight = 2
  quota  = 64
}

member "masantol-works" {
  weight = 1
  quota  = 32
}

prices {
  buffer = 10
  move   = 1
}

maintenance {
  drain_limit = "30s"
  max_step    = 4
  probation   = "10s"
}
