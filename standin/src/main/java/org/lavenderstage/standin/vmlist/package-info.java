/** The fake list of VMs. */
package org.lavenderstage.standin.vmlist;
