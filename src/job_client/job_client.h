// Server side of the callers that submit jobs.
#pragma once

#include "job_client/internal/job_request_handler.h"
#include "job_client/internal/job_service.h"
