// Callers that hand in jobs.
#pragma once

#include "job_client/internal/job_front.h"
#include "job_client/internal/job_service.h"
