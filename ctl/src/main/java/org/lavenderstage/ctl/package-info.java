/** The operators' command line. */
package org.lavenderstage.ctl;
